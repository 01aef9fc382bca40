/** Virtual time in whole ms. */
export class VirtualClock {
  nowMs = 0;
  private readonly due = new Map<number, (() => void)[]>();

  advance(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += 1) {
      const now = this.due.get(this.nowMs) ?? [];
      now.forEach((run) => {
        run();
      });
      this.due.delete(this.nowMs);
    }
  }

  at(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const list = this.due.get(atMs);
    if (list === undefined) {
      this.due.set(atMs, [run]);
    } else {
      list.push(run);
    }
  }
}
