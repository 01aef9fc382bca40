import type { Stream } from "../operation/types.js";

/** Where a command's text goes. */
export abstract class OperatorTerminal {
  /**
   * @param stream - Results, or messages about the command itself.
   * @param text - Whole lines.
   */
  abstract print(stream: Stream, text: string): void;
}
