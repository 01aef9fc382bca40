/** Intervals and timeouts of the node's requests to the platform's table. */
export const PLATFORM = {
  READ_INTERVAL_MS: 1_000,
  READ_TIMEOUT_MS: 2_000,
  WRITE_TIMEOUT_MS: 2_000,
  RESEND_MIN_MS: 200,
  RESEND_MAX_MS: 5_000,
  /** Number of its last write ids that a row keeps. */
  MAX_WRITE_IDS_PER_ROW: 8,
} as const;

/** Prefixes of row keys. */
export const ROW_PREFIX = {
  RULES_HEAD: "rules/head",
  AUDIT: "audit/",
  MEMBER: "member/",
  HOST: "host/",
  POOL_BUDGET: "budget/",
  MAINTAINER_LEASE: "lease/",
  WAVE: "wave/",
  TEAM_ESCROW: "escrow/team/",
  ZONE_ESCROW: "escrow/zone/",
  CLAIM: "claim/",
} as const;
