import { EXIT_CODE } from "@heatherferry/common";
import { Command, Option } from "clipanion";
import { explainRuns } from "../explain/explainRun.js";
import type { ExitCode } from "../operation/types.js";
import { readTextFile } from "./arguments.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Shows the run time that the starts of an item were decided by. */
export class ExplainRunCommand extends OperatorCommand {
  static override paths = [["explain", "run"]];
  static override usage = Command.Usage({
    category: "Explaining",
    description: "Show the run time that starts of an item were decided by",
    details:
      "Reads the log files of the nodes. For each start it shows the expected run time, whether it " +
      "was learned, from how many ends and how old the newest was. Exits 1 when no start is found.",
    examples: [["An item's starts", "$0 explain run 867867f88954af9e.0.0.1 node-*.log"]],
  });

  item = Option.String();
  files = Option.Rest({ name: "file", required: 1 });

  protected override carryOut(): ExitCode {
    const lines = explainRuns(this.item, this.files.map(readTextFile));
    if (lines.length === 0) {
      this.context.stderr.write(
        `No start of ${this.item}. Check the item, and that the files cover its time.\n`,
      );
      return EXIT_CODE.FAILED;
    }
    this.context.stdout.write(`${lines.join("\n")}\n`);
    return EXIT_CODE.OK;
  }
}
