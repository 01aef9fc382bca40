import type { RequestId } from "@heatherferry/common";
import type { Refusal } from "@heatherferry/core";
import type { ArrivalFields } from "./parseArrival.js";
import type { IncomingAnswer, OutgoingRequest } from "./types.js";

/** Result of relaying an answer to the caller. */
export type RelayResult = "whole" | "answerBrokeOff" | "callerGone";

/** A caller's request with everything that another entry host needs to run it. */
export interface ForwardableRequest {
  readonly arrival: ArrivalFields;
  /** The ticket as the caller sent it. */
  readonly ticketText: string | null;
  readonly outgoing: OutgoingRequest;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Receives callers' requests and sends their outcomes. */
export abstract class CallerServer {
  /**
   * Returns the request to send to a target, or null if the caller has disconnected.
   *
   * @param requestId - A request that has no outcome yet.
   */
  abstract outgoing(requestId: RequestId): OutgoingRequest | null;

  /**
   * Returns what another entry host needs to run the request, or null if the caller has
   * disconnected.
   *
   * @param requestId - A request that has no outcome yet.
   */
  abstract forwardable(requestId: RequestId): ForwardableRequest | null;

  /**
   * Relays a target's answer to the caller.
   *
   * @param requestId - The request.
   * @param answer - The answer; this method reads its body.
   * @returns The result, once relaying has ended.
   */
  abstract relay(requestId: RequestId, answer: IncomingAnswer): Promise<RelayResult>;

  /**
   * Answers the caller with a refusal in place of a target's answer.
   *
   * @param requestId - The request.
   * @param refusal - The refusal to report.
   */
  abstract refuse(requestId: RequestId, refusal: Refusal): void;

  /**
   * Closes the caller's connection, so that the caller does not mistake a partial answer for a
   * complete one.
   *
   * @param requestId - The request.
   */
  abstract abortResponse(requestId: RequestId): void;

  /** Stops accepting connections; open ones may finish their requests. */
  abstract close(): Promise<void>;
}
