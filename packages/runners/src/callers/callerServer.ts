import type { RequestId } from "@heatherferry/common";
import type { Refusal } from "@heatherferry/core";
import type { ArrivalFields } from "./parseArrival.js";
import type { IncomingAnswer, OutgoingRequest } from "./types.js";

/** How passing an answer on ended. */
export type RelayEnd = "whole" | "answerBrokeOff" | "callerGone";

/** A caller's request with all that another entry host needs to run it. */
export interface ForwardableRequest {
  readonly arrival: ArrivalFields;
  /** The ticket as it was presented. */
  readonly ticketText: string | null;
  readonly outgoing: OutgoingRequest;
  /** Aborts when the caller hangs up. */
  readonly signal: AbortSignal;
}

/** Where callers' requests come in and their outcomes go out. */
export abstract class CallerServer {
  /**
   * @param requestId - A request that has no outcome yet.
   * @returns What is to be sent to a target; null when the caller is gone.
   */
  abstract outgoing(requestId: RequestId): OutgoingRequest | null;

  /**
   * @param requestId - A request that has no outcome yet.
   * @returns What another entry host needs to run it; null when the caller is gone.
   */
  abstract forwardable(requestId: RequestId): ForwardableRequest | null;

  /**
   * Passes a target's answer on.
   *
   * @param requestId - The request.
   * @param answer - The answer; its body is read here.
   * @returns How it ended, when it has.
   */
  abstract relay(requestId: RequestId, answer: IncomingAnswer): Promise<RelayEnd>;

  /**
   * Answers in place of a target.
   *
   * @param requestId - The request.
   * @param refusal - What the caller is told.
   */
  abstract refuse(requestId: RequestId, refusal: Refusal): void;

  /**
   * Cuts the caller's connection, so that an answer that broke off is not taken for whole.
   *
   * @param requestId - The request.
   */
  abstract breakOff(requestId: RequestId): void;

  /** Stops taking connections; those in use end by themselves. */
  abstract close(): Promise<void>;
}
