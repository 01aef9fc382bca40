import type { AttemptId, HostId, RequestId } from "@heatherferry/common";
import type { AttemptStage } from "@heatherferry/core";
import type { IncomingAnswer, OutgoingRequest } from "../callers/types.js";

/** One request to one target. */
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

/** The way to the targets. */
export abstract class TargetLink {
  /**
   * Writes a request to a target, in this turn of the loop where a connection is open.
   *
   * @param call - The request and where it goes.
   * @returns The head of the answer, or how far the call got before it failed.
   */
  abstract call(call: TargetCall): Promise<TargetCallResult>;

  /**
   * Stops a call: its connection is closed.
   *
   * @param attemptId - The attempt that made it.
   */
  abstract abort(attemptId: AttemptId): void;

  /**
   * Stops using the open connections to an address; calls on them end by themselves.
   *
   * @param address - `host:port` of a target that went silent.
   */
  abstract retire(address: string): void;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
