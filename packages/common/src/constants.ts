/** Units of time in milliseconds. */
export const TIME = {
  SECOND_MS: 1_000,
  MINUTE_MS: 60_000,
  HOUR_MS: 3_600_000,
  DAY_MS: 86_400_000,
} as const;

/** Exit codes of the binaries. */
export const EXIT_CODE = {
  OK: 0,
  FAILED: 1,
  BAD_INPUT: 2,
} as const;
