export const PROGRAM = "heatherferry-standins";

/** Graceful shutdown of a stand-in: `GRACE_MS` is the time that requests in flight have to end. */
export const SHUTDOWN = { GRACE_MS: 10_000 } as const;
