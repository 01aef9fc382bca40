/** A virtual clock that runs scheduled callbacks, with a resolution of 1 ms. */
export class VirtualClock {
  nowMs = 0;
  private readonly callbacksByTimeMs = new Map<number, (() => void)[]>();

  /** Advances the clock and runs the callbacks that fall due, in order of time. */
  advance(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += 1) {
      const callbacks = this.callbacksByTimeMs.get(this.nowMs) ?? [];
      callbacks.forEach((run) => {
        run();
      });
      this.callbacksByTimeMs.delete(this.nowMs);
    }
  }

  /** Schedules a callback after a delay of at least 1 ms. */
  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const callbacks = this.callbacksByTimeMs.get(atMs);
    if (callbacks === undefined) {
      this.callbacksByTimeMs.set(atMs, [run]);
    } else {
      callbacks.push(run);
    }
  }
}
