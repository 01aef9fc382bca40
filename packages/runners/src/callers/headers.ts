import type { IncomingHttpHeaders } from "node:http";
import type { HeaderFields } from "./types.js";

/** Header fields of the caller API. */
export const CALLER_HEADER = {
  AUTHORIZATION: "authorization",
  REQUEST_ID: "heatherferry-request-id",
  IDEMPOTENT: "heatherferry-idempotent",
  TIMEOUT_MS: "heatherferry-timeout-ms",
  TICKET: "heatherferry-ticket",
  OUTCOME: "heatherferry-outcome",
  NOT_RUN: "heatherferry-not-run",
} as const;

/** Fields that are not passed through: hop-by-hop fields, and those that targets must not see. */
const STRIPPED_FIELDS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
  CALLER_HEADER.AUTHORIZATION,
  CALLER_HEADER.IDEMPOTENT,
  CALLER_HEADER.TIMEOUT_MS,
  CALLER_HEADER.TICKET,
  CALLER_HEADER.OUTCOME,
  CALLER_HEADER.NOT_RUN,
]);

/**
 * Returns the header fields to pass through, without hop-by-hop and internal ones.
 *
 * @param headers - Header fields as received.
 */
export const passThroughHeaders = (headers: IncomingHttpHeaders): HeaderFields => {
  const passed: HeaderFields = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !STRIPPED_FIELDS.has(name)) {
      passed[name] = value;
    }
  }
  return passed;
};
