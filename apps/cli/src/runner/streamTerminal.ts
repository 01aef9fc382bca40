import type { Writable } from "node:stream";
import { STREAM } from "../constants.js";
import type { Stream } from "../operation/types.js";
import { OperatorTerminal } from "./operatorTerminal.js";

/** A terminal on two streams of the process. */
export class StreamTerminal extends OperatorTerminal {
  /**
   * @param stdout - Takes results.
   * @param stderr - Takes messages.
   */
  constructor(
    private readonly stdout: Writable,
    private readonly stderr: Writable,
  ) {
    super();
  }

  override print(stream: Stream, text: string): void {
    (stream === STREAM.OUT ? this.stdout : this.stderr).write(text);
  }
}
