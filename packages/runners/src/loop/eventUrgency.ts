import type { UntimedEvent } from "./eventLoop.js";

/** Decides which events may be deferred while a node is busy. */
export abstract class EventUrgency {
  /** Whether events that arrive later may be handled before this one. */
  abstract mayWait(event: UntimedEvent): boolean;
}

/** Defers no event: all are handled in the order of arrival. */
export class AsTheyCome extends EventUrgency {
  override mayWait(): boolean {
    return false;
  }
}
