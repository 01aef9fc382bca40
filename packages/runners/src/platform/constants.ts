/** Paths of the platform's HTTP API. */
export const PLATFORM_PATH = {
  TABLE_READ: "/v1/table/read",
  TABLE_WRITE: "/v1/table/write",
  HOSTS: "/v1/hosts",
  OBJECTS: "/v1/objects",
} as const;

/** Timeouts of calls to the platform. */
export const PLATFORM_CALL = {
  TIMEOUT_MS: 2_000,
  REBOOT_TIMEOUT_MS: 600_000,
} as const;
