/** Share of the calls that may be repeated, and how many repeats may be saved up. */
export interface RetryBudgetLimits {
  /** Repeats that each call earns, between 0 and 1. */
  readonly repeatsPerCall: number;
  /** Most repeats that are saved up while none is needed. */
  readonly maxSaved: number;
}

/**
 * Limits how many calls are repeated, so that repeats add only a fixed share to the load of a server
 * that is already slow. Starts full, since a process that has just started may need repeats as well.
 */
export class RetryBudget {
  private saved: number;

  constructor(private readonly limits: RetryBudgetLimits) {
    this.saved = limits.maxSaved;
  }

  /** Records a call that is made for the first time. */
  recordCall(): void {
    const { repeatsPerCall, maxSaved } = this.limits;
    this.saved = Math.min(maxSaved, this.saved + repeatsPerCall);
  }

  /**
   * Takes one repeat from the budget.
   *
   * @returns Whether the call may be repeated.
   */
  tryTake(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
