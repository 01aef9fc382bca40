/** Ends the process once nothing is left to do. */
export abstract class ExitSwitch {
  abstract exit(): void;
}

/** Closes what was opened, in the order in which others depend on it. */
export class ClosingExit extends ExitSwitch {
  private closing = false;

  /**
   * @param closers - Close one part each.
   * @param onClosed - Called once all are closed.
   */
  constructor(
    private readonly closers: readonly (() => Promise<void>)[],
    private readonly onClosed: () => void,
  ) {
    super();
  }

  override exit(): void {
    if (!this.closing) {
      this.closing = true;
      void this.closeAll();
    }
  }

  private async closeAll(): Promise<void> {
    for (const close of this.closers) {
      await close();
    }
    this.onClosed();
  }
}
