import { EXIT_CODE } from "@heatherferry/common";
import { Command, Option } from "clipanion";
import { describeEvacuations } from "../evacuations/describeEvacuations.js";
import type { ExitCode } from "../operation/types.js";
import { readTextFile } from "./arguments.js";
import { OperatorCommand } from "./operatorCommand.js";

/** Prints which zones the nodes for submissions evacuate, and what still runs there. */
export class EvacuationsCommand extends OperatorCommand {
  static override paths = [["evacuations"]];
  static override usage = Command.Usage({
    category: "Explaining",
    description: "Show which availability zones are being evacuated, and what still runs there",
    details: "Reads the logs of the nodes that serve submissions. Exits 1 when they name no zone.",
    examples: [["Show the zones", "$0 evacuations node-*.log"]],
  });

  files = Option.Rest({ name: "file", required: 1 });

  protected override carryOut(): ExitCode {
    const lines = describeEvacuations(this.files.map(readTextFile));
    lines.forEach((line) => this.context.stdout.write(`${line}\n`));
    if (lines.length === 0) {
      this.context.stderr.write(
        "No line tells of an evacuation. Check that the files cover the time of the request.\n",
      );
    }
    return lines.length === 0 ? EXIT_CODE.FAILED : EXIT_CODE.OK;
  }
}
