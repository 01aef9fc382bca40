import type { AttemptId, HostId, RequestId } from "@heatherferry/common";
import type { AttemptStage } from "@heatherferry/core";
import type { IncomingAnswer, OutgoingRequest } from "../callers/types.js";

/** One request to send to one target. */
export interface TargetCall {
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly hostId: HostId;
  readonly address: string;
  readonly silenceTimeoutMs: number;
  readonly request: OutgoingRequest;
}

/** How a call failed before its answer began. */
export interface TargetCallFailure {
  readonly stage: AttemptStage;
  readonly silent: boolean;
  readonly reason: string;
}

export type TargetCallResult =
  | { readonly type: "answering"; readonly answer: IncomingAnswer }
  | { readonly type: "failed"; readonly failure: TargetCallFailure };

/** Calls targets. */
export abstract class TargetLink {
  /**
   * Sends a request to a target. If a connection is open, the request is written synchronously.
   *
   * @param call - The request and its target.
   * @returns The answer with its body still unread, or the stage at which the call failed.
   */
  abstract call(call: TargetCall): Promise<TargetCallResult>;

  /**
   * Aborts a call by closing its connection.
   *
   * @param attemptId - The attempt that made the call.
   */
  abstract abort(attemptId: AttemptId): void;

  /**
   * Stops using the open connections to an address. Calls in progress on them may finish.
   *
   * @param address - `host:port` of an unresponsive target.
   */
  abstract retire(address: string): void;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
