export const PROGRAM = "heatherferry-standins";

/** Time that requests in flight get at the end of a stand-in. */
export const SHUTDOWN = { GRACE_MS: 10_000 } as const;
