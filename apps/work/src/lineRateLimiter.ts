/** Rate limit of one class of lines: a sustained rate and a burst size. */
export interface LineRate {
  readonly linesPerS: number;
  readonly burstLines: number;
}

/** Limits the rate of log lines by a token bucket. */
export class LineRateLimiter {
  private tokens: number;
  private refilledAtMs = performance.now();

  constructor(private readonly rate: LineRate) {
    this.tokens = rate.burstLines;
  }

  /**
   * Takes a token for one line.
   *
   * @returns Whether the line may be written.
   */
  tryTake(): boolean {
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
