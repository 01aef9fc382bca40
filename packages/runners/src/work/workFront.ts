import type { CallAnswer, CallArrival } from "@heatherferry/core";

/** Hears of callers' calls. */
export abstract class CallHandler {
  abstract arrived(call: CallArrival): void;
  abstract abandoned(callId: string): void;
}

/** The listeners that callers and the platform's balancer reach. */
export abstract class WorkFront {
  /** Tells a caller the outcome; a caller that has left is passed over. */
  abstract answer(answer: CallAnswer): void;
  /** @param ready - Whether the balancer should send new connections. */
  abstract setReady(ready: boolean): void;
  /** Takes no new connections and asks callers to leave the open ones. */
  abstract beginLeaving(): void;
  /** Stops listening; answers under way are still sent. */
  abstract stopListening(): void;
  abstract close(): Promise<void>;
}
