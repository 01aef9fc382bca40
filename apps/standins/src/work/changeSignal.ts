/** Wakes all that wait for a change, such as long polls. */
export class ChangeSignal {
  private readonly waiters = new Set<() => void>();

  /**
   * Waits for the next change.
   *
   * @param maxWaitMs - Longest wait, in ms.
   */
  async next(maxWaitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, maxWaitMs);
      this.waiters.add(wake);
    });
  }

  /** Ends all present waits. */
  notify(): void {
    [...this.waiters].forEach((wake) => {
      wake();
    });
  }
}
