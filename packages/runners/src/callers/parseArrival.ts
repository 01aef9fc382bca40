import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import { keyHash, queueId, type KeyHash, type QueueId, type RequestId } from "@heatherferry/common";
import type { PresentedTicket, TicketSigner } from "@heatherferry/coordination";
import type { RequestArrived } from "@heatherferry/core";
import { CALLER_HEADER } from "./headers.js";

/** A header that cannot be parsed; the request is not run. */
export interface BadHeader {
  readonly header: string;
  readonly remedy: string;
}

/** Fields of the arrival event that are read from the HTTP request. */
export type ArrivalFields = Omit<RequestArrived, "type" | "atMs">;

const IDEMPOTENT_METHODS = new Set(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]);
const MAX_ID_LENGTH = 200;
const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;
const PRINTABLE = /^[\x21-\x7e]+$/;

const singleValue = (value: string | string[] | undefined): string | null =>
  typeof value === "string" ? value : null;

const hashKey = (secret: string): KeyHash =>
  keyHash(createHash("sha256").update(secret).digest("hex"));

const readKey = (headers: IncomingHttpHeaders): KeyHash | BadHeader | null => {
  const value = singleValue(headers[CALLER_HEADER.AUTHORIZATION]);
  if (value === null) {
    return null;
  }
  const secret = BEARER.exec(value)?.[1];
  return secret === undefined
    ? { header: CALLER_HEADER.AUTHORIZATION, remedy: "Send 'Bearer <key>'" }
    : hashKey(secret);
};

const readId = (headers: IncomingHttpHeaders, header: string): string | BadHeader | null => {
  const value = singleValue(headers[header]);
  if (value === null) {
    return null;
  }
  return value.length <= MAX_ID_LENGTH && PRINTABLE.test(value)
    ? value
    : { header, remedy: `Send at most ${MAX_ID_LENGTH} printable ASCII characters without spaces` };
};

const readIdempotent = (method: string, headers: IncomingHttpHeaders): boolean | BadHeader => {
  const value = singleValue(headers[CALLER_HEADER.IDEMPOTENT]);
  if (value === null) {
    return IDEMPOTENT_METHODS.has(method);
  }
  return value === "true" || value === "false"
    ? value === "true"
    : { header: CALLER_HEADER.IDEMPOTENT, remedy: "Send true or false" };
};

const readTimeoutMs = (headers: IncomingHttpHeaders): number | BadHeader | null => {
  const value = singleValue(headers[CALLER_HEADER.TIMEOUT_MS]);
  if (value === null) {
    return null;
  }
  return /^[1-9]\d{0,7}$/.test(value)
    ? Number(value)
    : { header: CALLER_HEADER.TIMEOUT_MS, remedy: "Send a whole number of milliseconds above 0" };
};

const readTicket = (
  headers: IncomingHttpHeaders,
  signer: TicketSigner,
): PresentedTicket | BadHeader | null => {
  const text = readId(headers, CALLER_HEADER.TICKET);
  if (text === null || typeof text !== "string") {
    return text;
  }
  const remedy = "Send a ticket as it was issued";
  return signer.read(text) ?? { header: CALLER_HEADER.TICKET, remedy };
};

const isBad = (value: unknown): value is BadHeader =>
  typeof value === "object" && value !== null && "remedy" in value;

const decodeQueue = (raw: string): QueueId => queueId(raw);

/**
 * Parses the headers of a caller's request.
 *
 * @param requestId - Id that this entry host has given the request.
 * @param queue - Name of the queue, from the path.
 * @param method - HTTP method.
 * @param headers - Header fields as received.
 * @param signer - Verifies the tickets of this process.
 * @returns The arrival, or the first header that is invalid.
 */
export const parseArrival = (
  requestId: RequestId,
  queue: string,
  method: string,
  headers: IncomingHttpHeaders,
  signer: TicketSigner,
): ArrivalFields | BadHeader => {
  const key = readKey(headers);
  const idempotencyKey = readId(headers, CALLER_HEADER.REQUEST_ID);
  const ticket = readTicket(headers, signer);
  const idempotent = readIdempotent(method, headers);
  const timeoutMs = readTimeoutMs(headers);
  if (isBad(key)) {
    return key;
  }
  if (isBad(idempotencyKey)) {
    return idempotencyKey;
  }
  if (isBad(ticket)) {
    return ticket;
  }
  if (isBad(idempotent)) {
    return idempotent;
  }
  if (isBad(timeoutMs)) {
    return timeoutMs;
  }
  return {
    requestId,
    queue: decodeQueue(queue),
    keyHash: key,
    idempotent,
    idempotencyKey,
    ticket,
    timeoutMs,
    forwarded: false,
  };
};

export const isBadHeader = isBad;
