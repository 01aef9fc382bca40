import type { CallAnswer, CallArrival } from "@heatherferry/core";

/** Handles callers' calls. */
export abstract class CallHandler {
  /** Handles a new call. */
  abstract arrived(call: CallArrival): void;
  /** Handles the disconnection of a caller that waits for an answer. */
  abstract abandoned(callId: string): void;
}

/** The listeners for callers and for the platform's load balancer. */
export abstract class WorkFront {
  /** Answers a call. Does nothing if the caller has disconnected. */
  abstract answer(answer: CallAnswer): void;
  /**
   * Sets the readiness that the load balancer reads.
   *
   * @param ready - Whether the balancer should send new connections.
   */
  abstract setReady(ready: boolean): void;
  /** Accepts no new connections and asks callers to close the open ones. */
  abstract beginShutdown(): void;
  /** Stops listening; answers in progress are still sent. */
  abstract stopListening(): void;
  abstract close(): Promise<void>;
}
