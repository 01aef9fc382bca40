import type { CallAnswer, CallArrival, CallHead } from "@heatherferry/core";

/** Handles callers' calls. */
export abstract class CallHandler {
  /**
   * Returns how many bytes of a body to read before the call is handled; 0 if the call's answer
   * does not depend on its body.
   *
   * @param head - The call.
   * @param announcedBytes - Size of the body; 0 if it is not announced.
   */
  abstract bodyBytesToRead(head: CallHead, announcedBytes: number): number;
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
