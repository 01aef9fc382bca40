import type { UntimedEvent } from "./eventLoop.js";

/** Tells which events may wait while a node has much to do. */
export abstract class EventUrgency {
  /** @returns Whether events that are more urgent may be handled before it. */
  abstract mayWait(event: UntimedEvent): boolean;
}

/** Events are handled as they come. */
export class AsTheyCome extends EventUrgency {
  override mayWait(): boolean {
    return false;
  }
}
