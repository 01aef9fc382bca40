/** Limits on the answers that are stored for duplicate requests. */
export const KEPT_ANSWERS = {
  MAX_BYTES: 16_777_216,
  MAX_BYTES_EACH: 262_144,
} as const;
