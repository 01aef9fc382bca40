import { EXIT_CODE } from "@heatherferry/common";
import { Command, Option } from "clipanion";
import type { ExitCode } from "../operation/types.js";
import { timelineOf } from "../trace/traceTimeline.js";
import { readTextFile } from "./arguments.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Prints the log lines of several nodes that contain one id, in order of time. */
export class TraceCommand extends OperatorCommand {
  static override paths = [["trace"]];
  static override usage = Command.Usage({
    category: "Explaining",
    description: "Show what the nodes logged of an id, in the order of time",
    details:
      "The id is that of a submission, an item, a call, a worker or a host. " +
      "Exits 1 when no line names it.",
    examples: [["Follow a submission", "$0 trace 867867f88954af9e node-*.log"]],
  });

  id = Option.String();
  files = Option.Rest({ name: "file", required: 1 });

  protected override carryOut(): ExitCode {
    const { lines, unreadable } = timelineOf(this.id, this.files.map(readTextFile));
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
    if (unreadable > 0) {
      this.context.stderr.write(`${unreadable} lines that name ${this.id} cannot be read.\n`);
    }
    if (lines.length === 0) {
      this.context.stderr.write(
        `No line names ${this.id}. Check the id, and that the files cover its time.\n`,
      );
    }
    return lines.length === 0 ? EXIT_CODE.FAILED : EXIT_CODE.OK;
  }
}
