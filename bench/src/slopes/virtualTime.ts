/** Does things at whole ms of a clock that only turns when it is told to. */
export class VirtualTime {
  nowMs = 1_000;
  private readonly due = new Map<number, (() => void)[]>();

  /** @param delayMs - At least 1; rounded up. */
  after(delayMs: number, act: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.ceil(delayMs));
    const acts = this.due.get(atMs);
    if (acts === undefined) {
      this.due.set(atMs, [act]);
    } else {
      acts.push(act);
    }
  }

  /** Turns the clock by one ms. */
  step(): void {
    this.nowMs += 1;
    const ready = this.due.get(this.nowMs) ?? [];
    this.due.delete(this.nowMs);
    ready.forEach((act) => {
      act();
    });
  }
}
