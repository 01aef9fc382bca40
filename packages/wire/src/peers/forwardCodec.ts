import { create } from "@bufbuild/protobuf";
import { incarnation, keyHash, queueId } from "@heatherferry/common";
import { OUTCOME, REFUSAL_KIND, type Refusal, type RefusalKind } from "@heatherferry/core";
import {
  AnswerSchema,
  HeaderFieldSchema,
  RefusalSchema,
  RunRequestRequestSchema,
  RunRequestResponseSchema,
  type HeaderField,
  type Refusal as WireRefusal,
  type RunRequestRequest,
  type RunRequestResponse,
} from "../gen/heatherferry/peers/v1/peers_pb.js";
import type { PeerSender } from "./messageCodec.js";
import type { ForwardedOutcome, ForwardedRequest, PeerHeaders } from "./types.js";

const REFUSAL_KINDS: ReadonlySet<string> = new Set(Object.values(REFUSAL_KIND));

const isRefusalKind = (kind: string): kind is RefusalKind => REFUSAL_KINDS.has(kind);

const encodeHeaders = (headers: PeerHeaders): HeaderField[] =>
  Object.entries(headers).map(([name, value]) =>
    create(HeaderFieldSchema, { name, values: typeof value === "string" ? [value] : [...value] }),
  );

const decodeHeaders = (fields: readonly HeaderField[]): PeerHeaders =>
  Object.fromEntries(
    fields.map(({ name, values }) => [
      name,
      values.length === 1 && values[0] !== undefined ? values[0] : values,
    ]),
  );

/** Refusal that replaces an unreadable outcome: it is unknown whether the request ran. */
const UNREADABLE_REFUSAL: Refusal = {
  outcome: OUTCOME.UNKNOWN,
  kind: REFUSAL_KIND.ISSUER_GONE,
  retryAfterMs: null,
};

const decodeRefusal = (refusal: WireRefusal): Refusal =>
  isRefusalKind(refusal.kind)
    ? {
        outcome: refusal.notRun ? OUTCOME.NOT_RUN : OUTCOME.UNKNOWN,
        kind: refusal.kind,
        retryAfterMs: refusal.retryAfterMs ?? null,
      }
    : UNREADABLE_REFUSAL;

const encodeRefusal = ({ outcome, kind, retryAfterMs }: Refusal): WireRefusal => {
  const refusal = create(RefusalSchema, { notRun: outcome === OUTCOME.NOT_RUN, kind });
  if (retryAfterMs !== null) {
    refusal.retryAfterMs = retryAfterMs;
  }
  return refusal;
};

/**
 * Encodes a request that is forwarded to another entry host.
 *
 * @param sender - Entry host that forwards the request.
 */
export const encodeForwarded = (
  sender: PeerSender,
  forwarded: ForwardedRequest,
): RunRequestRequest => {
  const { keyHash: hash, idempotencyKey, ticket, headers, ...plain } = forwarded;
  const request = create(RunRequestRequestSchema, {
    ...plain,
    sender: { ...sender },
    headers: encodeHeaders(headers),
  });
  if (hash !== null) {
    request.keyHash = hash;
  }
  if (idempotencyKey !== null) {
    request.idempotencyKey = idempotencyKey;
  }
  if (ticket !== null) {
    request.ticket = ticket;
  }
  return request;
};

/** Decodes a forwarded request. */
export const decodeForwarded = (request: RunRequestRequest): ForwardedRequest => ({
  incarnation: incarnation(request.incarnation),
  queue: queueId(request.queue),
  keyHash: request.keyHash === undefined ? null : keyHash(request.keyHash),
  idempotent: request.idempotent,
  idempotencyKey: request.idempotencyKey ?? null,
  ticket: request.ticket ?? null,
  timeoutMs: request.timeoutMs,
  method: request.method,
  path: request.path,
  headers: decodeHeaders(request.headers),
  body: request.body,
});

/** Encodes the outcome of a forwarded request. */
export const encodeOutcome = (outcome: ForwardedOutcome): RunRequestResponse => {
  if (outcome.type === "refused") {
    const value = encodeRefusal(outcome.refusal);
    return create(RunRequestResponseSchema, { outcome: { case: "refusal", value } });
  }
  const value = create(AnswerSchema, {
    statusCode: outcome.statusCode,
    headers: encodeHeaders(outcome.headers),
    body: outcome.body,
  });
  return create(RunRequestResponseSchema, { outcome: { case: "answer", value } });
};

/**
 * Decodes the outcome of a forwarded request.
 *
 * @returns The outcome; a refusal with an unknown outcome if the response cannot be read.
 */
export const decodeOutcome = (response: RunRequestResponse): ForwardedOutcome => {
  const { outcome } = response;
  switch (outcome.case) {
    case "answer":
      return {
        type: "answered",
        statusCode: outcome.value.statusCode,
        headers: decodeHeaders(outcome.value.headers),
        body: outcome.value.body,
      };
    case "refusal":
      return { type: "refused", refusal: decodeRefusal(outcome.value) };
    default:
      return { type: "refused", refusal: UNREADABLE_REFUSAL };
  }
};
