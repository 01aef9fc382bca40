import type { IncomingHttpHeaders } from "node:http";
import type { HeaderFields } from "./types.js";

/** Header fields of the callers' interface. */
export const CALLER_HEADER = {
  AUTHORIZATION: "authorization",
  REQUEST_ID: "heatherferry-request-id",
  IDEMPOTENT: "heatherferry-idempotent",
  TIMEOUT_MS: "heatherferry-timeout-ms",
  TICKET: "heatherferry-ticket",
  OUTCOME: "heatherferry-outcome",
  NOT_RUN: "heatherferry-not-run",
} as const;

/** Fields that belong to one connection, or that targets must not see. */
const KEPT_BACK = new Set([
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
 * @param headers - Header fields as received.
 * @returns Those that are passed on.
 */
export const passedHeaders = (headers: IncomingHttpHeaders): HeaderFields => {
  const passed: HeaderFields = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !KEPT_BACK.has(name)) {
      passed[name] = value;
    }
  }
  return passed;
};
