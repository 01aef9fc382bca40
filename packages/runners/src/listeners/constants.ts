import type { ValueOf } from "@heatherferry/common";

/** Limits on clients that no setting changes. */
export const CLIENT_LIMIT = {
  /**
   * Requests of one connection that wait for their answers; further ones close the connection. One
   * that is read request by request has a single one.
   */
  MAX_OPEN_REQUESTS: 16,
  /** Bytes of a refused body that are discarded, so that the client reads its answer. */
  MAX_DISCARDED_BYTES: 1_048_576,
  /** Clients whose refused bodies are discarded at once; others are disconnected. */
  MAX_DISCARDS: 16,
  /** Longest time from the first byte of a body to its last. */
  BODY_TIMEOUT_MS: 10_000,
  /** Longest time from the first byte of a request, or from the opening of a connection. */
  REQUEST_TIMEOUT_MS: 65_000,
  /** A connection is closed when no byte has moved for this long. */
  IDLE_TIMEOUT_MS: 65_000,
  /** Interval at which time-outs of requests are checked. */
  CHECK_INTERVAL_MS: 5_000,
  /** Largest header of a request. */
  MAX_HEADER_BYTES: 16_384,
  /** Connections of a listener that only serves probes and metrics. */
  MAX_PROBE_CONNECTIONS: 32,
  /** Bytes that the clients of such a listener may have sent ahead of their answers. */
  PROBE_AHEAD_BYTES: 1_048_576,
} as const;

/** Parts of a machine that clients may use. */
export const CLIENT_SHARE = {
  /** Memory of the bodies that are being read; as much again for those that wait for an answer. */
  BODY_MEMORY: 1 / 16,
  /** Memory of what clients send ahead of the answers that they wait for. */
  AHEAD_MEMORY: 1 / 16,
  CONNECTION_MEMORY: 1 / 8,
  /** Memory that a connection with its buffers and its request takes. */
  BYTES_PER_CONNECTION: 32_768,
  /** Memory of the connections of peers, and as much again of their open calls. */
  PEER_MEMORY: 1 / 16,
  BYTES_PER_PEER_CONNECTION: 65_536,
  BYTES_PER_PEER_CALL: 32_768,
  /** Descriptors that are not for sockets. */
  RESERVED_DESCRIPTORS: 200,
  /** Parts of the other descriptors; what remains is for connections that this process opens. */
  CLIENT_SOCKETS: 1 / 2,
  PEER_SOCKETS: 1 / 8,
  MIN_CONNECTIONS: 16,
} as const;

/** Limits that a client has met. */
export const MET_LIMIT = {
  CONNECTIONS: "connections",
  OPEN_REQUESTS: "openRequests",
  UNREAD_ANSWERS: "unreadAnswers",
  BYTES_AHEAD: "bytesAhead",
  BODY_MEMORY: "bodyMemory",
  BODY_SIZE: "bodySize",
  BODY_TIME: "bodyTime",
  DISCARDED_BYTES: "discardedBytes",
  HEADER_SIZE: "headerSize",
  REQUEST_TIME: "requestTime",
  MALFORMED: "malformed",
} as const;

export type MetLimit = ValueOf<typeof MET_LIMIT>;
