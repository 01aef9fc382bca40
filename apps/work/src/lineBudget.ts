/** Lines that one class may write: so many a second, and a burst of so many. */
export interface LineRate {
  readonly linesPerS: number;
  readonly burstLines: number;
}

/** A token bucket of log lines. */
export class LineBudget {
  private tokens: number;
  private refilledAtMs = performance.now();

  constructor(private readonly rate: LineRate) {
    this.tokens = rate.burstLines;
  }

  /** @returns Whether one more line may be written now; if so, it is charged. */
  take(): boolean {
    this.refill();
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const nowMs = performance.now();
    const gained = ((nowMs - this.refilledAtMs) / 1_000) * this.rate.linesPerS;
    this.tokens = Math.min(this.rate.burstLines, this.tokens + gained);
    this.refilledAtMs = nowMs;
  }
}
