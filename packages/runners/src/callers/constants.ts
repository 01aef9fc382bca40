/** Bounds on answers kept for repeats. */
export const KEPT_ANSWERS = {
  MAX_BYTES: 16_777_216,
  MAX_BYTES_EACH: 262_144,
} as const;
