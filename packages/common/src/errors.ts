/** Base of all errors of the product: a typed kind, and a message that names the remedy. */
export abstract class HeatherferryError extends Error {
  /** What went wrong, out of the subclass's own constant object. */
  abstract readonly kind: string;

  /**
   * @param problem - What is wrong, in one sentence without a final stop.
   * @param remedy - What the reader can do about it, in one sentence without a final stop.
   * @param options - The cause, where another error led to this one.
   */
  constructor(
    readonly problem: string,
    readonly remedy: string,
    options?: ErrorOptions,
  ) {
    super(`${problem}. ${remedy}.`, options);
    this.name = new.target.name;
  }
}

/**
 * @param error - Anything thrown.
 * @returns Its message.
 */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
