import type { Writable } from "node:stream";
import { STREAM } from "../constants.js";
import type { Stream } from "../operation/types.js";
import { OperatorTerminal } from "./operatorTerminal.js";

/** Terminal that writes to two streams. */
export class StreamTerminal extends OperatorTerminal {
  /**
   * @param stdout - Stream for results.
   * @param stderr - Stream for messages.
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
