/** A virtual clock in whole milliseconds, which runs scheduled callbacks in order of time. */
export class VirtualTime {
  nowMs = 0;
  private readonly due = new Map<number, (() => void)[]>();

  at(atMs: number, run: () => void): void {
    const dueAtMs = Math.max(this.nowMs + 1, Math.round(atMs));
    const scheduled = this.due.get(dueAtMs);
    if (scheduled === undefined) {
      this.due.set(dueAtMs, [run]);
    } else {
      scheduled.push(run);
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
