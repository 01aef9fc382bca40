export const HTTP_STATUS = {
  OK: 200,
  BAD_REQUEST: 400,
  NOT_FOUND: 404,
  CONFLICT: 409,
  INTERNAL_SERVER_ERROR: 500,
  SERVICE_UNAVAILABLE: 503,
  GATEWAY_TIMEOUT: 504,
} as const;

export const LOOPBACK = "127.0.0.1";

/** Limits of the stand-ins' HTTP servers. */
export const SERVER_LIMITS = {
  MAX_BODY_BYTES: 67_108_864,
  KEEP_ALIVE_TIMEOUT_MS: 60_000,
} as const;
