/** Runs what is due in order of time, in whole milliseconds. */
export class VirtualTime {
  nowMs = 0;
  private readonly due = new Map<number, (() => void)[]>();

  at(atMs: number, run: () => void): void {
    const slot = Math.max(this.nowMs + 1, Math.round(atMs));
    const waiting = this.due.get(slot);
    if (waiting === undefined) {
      this.due.set(slot, [run]);
    } else {
      waiting.push(run);
    }
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + delayMs, run);
  }

  advance(byMs: number): void {
    const endMs = this.nowMs + byMs;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      const runs = this.due.get(this.nowMs) ?? [];
      this.due.delete(this.nowMs);
      for (const run of runs) {
        run();
      }
    }
  }
}
