import type { MetLimit } from "./constants.js";

/** Learns of clients that meet a limit. */
export abstract class LimitObserver {
  /**
   * Notes that a client has met a limit. Must be cheap: such clients may come in any number.
   *
   * @param limit - The limit.
   */
  abstract met(limit: MetLimit): void;
}

/** Ignores what it learns. */
export class NoLimitObserver extends LimitObserver {
  override met(): void {
    // Nothing is counted.
  }
}
