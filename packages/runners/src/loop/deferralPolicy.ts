import type { UntimedEvent } from "./eventLoop.js";

/** Decides which events may be deferred while a node is busy. */
export abstract class DeferralPolicy {
  /** Whether events that arrive later may be handled before this one. */
  abstract mayDefer(event: UntimedEvent): boolean;
}

/** Defers no event: all are handled in the order of arrival. */
export class NoDeferral extends DeferralPolicy {
  override mayDefer(): boolean {
    return false;
  }
}
