import type { Stream } from "../operation/types.js";

/** Output of a command. */
export abstract class OperatorTerminal {
  /**
   * Prints text.
   *
   * @param stream - Standard output for results, standard error for messages.
   * @param text - Whole lines.
   */
  abstract print(stream: Stream, text: string): void;
}
