/** Clock that advances only on request, in whole ms, and runs the callbacks that are due. */
export class VirtualClock {
  nowMs = 1_000;
  private readonly due = new Map<number, (() => void)[]>();

  /**
   * Schedules a callback.
   *
   * @param delayMs - Delay, rounded up to whole ms; at least 1.
   * @param callback - Called once the delay has passed.
   */
  schedule(delayMs: number, callback: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.ceil(delayMs));
    const callbacks = this.due.get(atMs);
    if (callbacks === undefined) {
      this.due.set(atMs, [callback]);
    } else {
      callbacks.push(callback);
    }
  }

  /** Advances the clock by 1 ms and runs the callbacks that are due then. */
  advance(): void {
    this.nowMs += 1;
    const ready = this.due.get(this.nowMs) ?? [];
    this.due.delete(this.nowMs);
    ready.forEach((callback) => {
      callback();
    });
  }
}
