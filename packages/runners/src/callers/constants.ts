/** Limits on the answers that are stored for duplicate requests. */
export const STORED_ANSWERS = {
  MAX_TOTAL_BYTES: 16_777_216,
  MAX_ANSWER_BYTES: 262_144,
} as const;
