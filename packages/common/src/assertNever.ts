/**
 * Makes the compiler reject a switch that does not cover every variant of a union.
 *
 * @param value - The value that no branch handled.
 * @returns Never returns.
 * @throws Error when a value outside the union reaches it at run time.
 */
export const assertNever = (value: never): never => {
  throw new Error(`Unhandled variant: ${JSON.stringify(value)}`);
};
