import { EventEmitter } from "node:events";
import type { AttemptId } from "@heatherferry/common";
import { ATTEMPT_STAGE, type AttemptStage } from "@heatherferry/core";
import { messageOf } from "@heatherferry/common";
import { Pool, type Dispatcher } from "undici";
import { CALLER_HEADER, passThroughHeaders } from "../callers/headers.js";
import { TARGET } from "./constants.js";
import { TargetLink, type TargetCall, type TargetCallResult } from "./targetLink.js";

/** Error codes of connections that could not be opened, so nothing of the request was sent. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EHOSTDOWN",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const INACTIVITY_TIMEOUTS = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT"]);

const codeOf = (error: unknown): string => {
  const code = error instanceof Error && "code" in error ? error.code : "";
  return typeof code === "string" ? code : "";
};

/**
 * Whether a call failed because its connection received no data for too long.
 *
 * @param error - Error that the call threw.
 */
export const isInactivityTimeout = (error: unknown): boolean =>
  INACTIVITY_TIMEOUTS.has(codeOf(error));

const failed = (stage: AttemptStage, silent: boolean, reason: string): TargetCallResult => ({
  type: "failed",
  failure: { stage, silent, reason },
});

/** Calls targets over HTTP/1.1, one request at a time per connection, so answers are not mixed up. */
export class HttpTargetLink extends TargetLink {
  private readonly pools = new Map<string, Pool>();
  private readonly calls = new Map<AttemptId, EventEmitter>();

  override async call(call: TargetCall): Promise<TargetCallResult> {
    const abortEmitter = new EventEmitter();
    this.calls.set(call.attemptId, abortEmitter);
    try {
      const response = await this.send(call, abortEmitter);
      return await this.readHead(call, response);
    } catch (error) {
      this.calls.delete(call.attemptId);
      const stage = CONNECT_ERRORS.has(codeOf(error)) ? ATTEMPT_STAGE.NOT_SENT : ATTEMPT_STAGE.SENT;
      return failed(stage, isInactivityTimeout(error), messageOf(error));
    }
  }

  override abort(attemptId: AttemptId): void {
    this.calls.get(attemptId)?.emit("abort");
    this.calls.delete(attemptId);
  }

  override retire(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    void pool?.close();
  }

  override async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private poolFor(address: string): Pool {
    const existing = this.pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const created = new Pool(`http://${address}`, {
      connections: TARGET.MAX_CONNECTIONS,
      pipelining: 1,
      connectTimeout: TARGET.CONNECT_TIMEOUT_MS,
      keepAliveTimeout: TARGET.KEEP_ALIVE_MS,
    });
    this.pools.set(address, created);
    return created;
  }

  private async send(call: TargetCall, signal: EventEmitter): Promise<Dispatcher.ResponseData> {
    const { request } = call;
    return this.poolFor(call.address).request({
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body.open(),
      headersTimeout: call.silenceTimeoutMs,
      bodyTimeout: call.silenceTimeoutMs,
      signal,
    });
  }

  private async readHead(
    call: TargetCall,
    response: Dispatcher.ResponseData,
  ): Promise<TargetCallResult> {
    const notRun = response.headers[CALLER_HEADER.NOT_RUN];
    if (notRun !== undefined) {
      this.calls.delete(call.attemptId);
      await response.body.dump();
      return failed(ATTEMPT_STAGE.NOT_SENT, false, `The target did not run it: ${String(notRun)}`);
    }
    response.body.once("close", () => this.calls.delete(call.attemptId));
    const { statusCode, headers, body } = response;
    return {
      type: "answering",
      answer: { statusCode, headers: passThroughHeaders(headers), body },
    };
  }
}
