/** Base class of all errors of heatherferry: a typed kind and a message that names the remedy. */
export abstract class HeatherferryError extends Error {
  /** The kind of error, a value of the subclass's own constant object. */
  abstract readonly kind: string;

  /**
   * @param problem - What is wrong, in one sentence without a full stop.
   * @param remedy - What the reader can do about it, in one sentence without a full stop.
   * @param options - The underlying error, if any.
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
 * Returns the message of a thrown value.
 *
 * @param error - An error or any other thrown value.
 * @returns The message, or the value as a string if it is not an error.
 */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
