import { randomBytes } from "node:crypto";
import { gzipSync } from "node:zlib";

/** What one client sends over a connection that it never closes by itself. */
export interface ClientScript {
  /** Names the fault in the title of a test. */
  readonly title: string;
  /** Sent first. */
  readonly start: string;
  /** Sent repeatedly after the start. */
  readonly piece: Buffer;
  /** Number of times that the piece is sent. */
  readonly pieces: number;
  /** Interval at which single bytes of the piece follow instead, in ms; null for no delay. */
  readonly trickleMs: number | null;
  readonly readsAnswers: boolean;
}

/** Request that the clients send, and the sizes that exceed or just meet the server's limits. */
export interface RequestShape {
  /** Request line and header fields of a request with a body, without the final empty line. */
  readonly head: string;
  /** Size of a body that a client announces and sends all but one byte of. */
  readonly heldBytes: number;
  /** Size of a body within the limits. */
  readonly permittedBytes: number;
  /** A whole request without a body. */
  readonly plainRequest: string;
}

const MB = 1_000_000;
const PIECE = Buffer.alloc(65_536, "x");
const CHUNK = Buffer.concat([Buffer.from("10000\r\n"), PIECE, Buffer.from("\r\n")]);
const HEADER_LINES = Buffer.from("x-filler: 0123456789abcdef\r\n".repeat(512));
const SENT_BYTES = 8 * MB;

const script = (
  title: string,
  start: string,
  piece: Buffer,
  bytes: number,
  options: Partial<ClientScript> = {},
): ClientScript => ({
  title,
  start,
  piece,
  pieces: Math.ceil(bytes / piece.length),
  trickleMs: null,
  readsAnswers: true,
  ...options,
});

const announced = (head: string, bytes: number, fields = ""): string =>
  `${head}${fields}content-length: ${bytes}\r\n\r\n`;

const chunked = (head: string): string => `${head}transfer-encoding: chunked\r\n\r\n`;

const compressed = (head: string): string => {
  const body = gzipSync(Buffer.alloc(64 * MB)).toString("latin1");
  return announced(head, body.length, "content-encoding: gzip\r\n") + body;
};

/**
 * Returns the script of clients that write many requests without waiting for an answer.
 *
 * @param request - A whole request.
 * @param count - Number of requests on each connection.
 */
export const requestsAhead = (request: string, count: number): ClientScript =>
  script(`${count} requests ahead of their answers`, "", Buffer.from(request.repeat(count)), 1);

/**
 * Returns scripts of clients that do not stay within the limits of a server.
 *
 * @param shape - Request and sizes that suit the server.
 */
export const clientScripts = (shape: RequestShape): readonly ClientScript[] => {
  const { head, heldBytes, permittedBytes, plainRequest } = shape;
  const smallChunks = Buffer.from("1\r\nx\r\n".repeat(permittedBytes));
  const requests = Buffer.from(plainRequest.repeat(100));
  return [
    script("bodies of 64 MB, announced", announced(head, 64 * MB), PIECE, SENT_BYTES),
    script("bodies without an announced length", chunked(head), CHUNK, SENT_BYTES),
    script("bodies in chunks of one byte", chunked(head), smallChunks, smallChunks.length),
    script("bodies held open one byte short", announced(head, heldBytes), PIECE, 0, {
      piece: Buffer.alloc(heldBytes - 1, "x"),
      pieces: 1,
    }),
    script(
      "bodies sent without waiting for 100-continue",
      announced(head, 64 * MB, "expect: 100-continue\r\n"),
      PIECE,
      SENT_BYTES,
    ),
    script("bodies of a byte a second", announced(head, permittedBytes), PIECE, MB, {
      trickleMs: 1_000,
    }),
    script("headers that never end", head, HEADER_LINES, SENT_BYTES),
    script("headers of a byte a second", head, HEADER_LINES, MB, { trickleMs: 1_000 }),
    script("compressed bodies", compressed(head), PIECE, 0),
    script(
      "bodies with a wrong content type",
      announced(head, permittedBytes, "content-encoding: br\r\ncontent-type: image/png\r\n"),
      randomBytes(permittedBytes),
      permittedBytes,
    ),
    script(
      "requests behind a large body",
      announced(head, MB) + "x".repeat(MB),
      requests,
      200 * plainRequest.length,
    ),
    script("answers that are never read", plainRequest, requests, 300 * plainRequest.length, {
      readsAnswers: false,
    }),
  ];
};
