/** Ends the process when a node requests its exit. */
export abstract class ExitHandler {
  abstract exit(): void;
}

/** Closes the components in order of their dependencies, then reports that all are closed. */
export class GracefulExit extends ExitHandler {
  private closing = false;

  /**
   * @param closers - Functions that each close one component, called one after another.
   * @param onClosed - Called once all components are closed.
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
