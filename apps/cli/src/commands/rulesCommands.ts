import { EXIT_CODE } from "@heatherferry/common";
import { checkedRules } from "@heatherferry/rules";
import { Command, Option } from "clipanion";
import { Apply } from "../apply/apply.js";
import { ShowAudit } from "../audit/showAudit.js";
import { ROLL_OUT } from "../constants.js";
import type { Operation } from "../operation/operation.js";
import type { ExitCode } from "../operation/types.js";
import { ShowDiff } from "../show/showDiff.js";
import { ShowRules } from "../show/showRules.js";
import { parseOptionalRevision, readTextFile, parseWholeNumber } from "./arguments.js";
import { OperatorCommand, PlatformCommand, RulesCommand } from "./operatorCommand.js";

const CATEGORY = "Rules";

const readValidRules = (path: string): string => {
  const text = readTextFile(path);
  checkedRules(text, path);
  return text;
};

/** Validates a rules file without the platform. */
export class CheckCommand extends OperatorCommand {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Check a rules file without the platform",
    details: "Lists every problem as file:line:column with its remedy. Exits 2 when there is one.",
    examples: [["Check a file", "$0 check san-vicente.rules"]],
  });

  file = Option.String();

  protected override carryOut(): ExitCode {
    readValidRules(this.file);
    this.context.stdout.write(`${this.file}: no problems.\n`);
    return EXIT_CODE.OK;
  }
}

/** Compares a rules file with the rules in force. */
export class DiffCommand extends PlatformCommand {
  static override paths = [["diff"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Show what a rules file would change",
    examples: [["Compare with the rules in force", "$0 diff san-vicente.rules"]],
  });

  file = Option.String();

  protected override createOperation(): Operation {
    return new ShowDiff(readValidRules(this.file));
  }
}

/** Applies a rules file. */
export class ApplyCommand extends RulesCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Put a rules file in force",
    details:
      "Takes effect only if the rules in force still are those that the file starts from: " +
      "--from, else the file's first line `# revision N`, else what is in force now.",
    examples: [["Apply, and wait for all entry hosts", "$0 apply san-vicente.rules --wait"]],
  });

  file = Option.String();
  from = Option.String("--from", { description: "Revision that the file starts from" });
  wait = Option.Boolean("--wait", false, {
    description: "Wait until all live entry hosts work under the new revision",
  });
  timeoutMs = Option.String("--timeout-ms", String(ROLL_OUT.DEFAULT_TIMEOUT_MS), {
    description: "How long --wait waits",
  });

  protected override createOperation(): Operation {
    const timeoutMs = parseWholeNumber("--timeout-ms", this.timeoutMs);
    return new Apply({
      path: this.file,
      text: readValidRules(this.file),
      author: this.author(),
      from: parseOptionalRevision("--from", this.from),
      wait: this.wait ? { timeoutMs } : null,
      budgetsChecked: false,
    });
  }
}

/** Prints the rules in force. */
export class ShowCommand extends PlatformCommand {
  static override paths = [["show"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Print the rules in force, their revision first",
    examples: [["Begin an edit", "$0 show > san-vicente.rules"]],
  });

  protected override createOperation(): Operation {
    return new ShowRules();
  }
}

/** Lists the changes in the audit trail. */
export class AuditCommand extends PlatformCommand {
  static override paths = [["audit"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "List who changed the rules, when, and which lines",
    examples: [["All changes from revision 40 on", "$0 audit --since 40"]],
  });

  since = Option.String("--since", { description: "First revision; by default the last 20" });

  protected override createOperation(): Operation {
    return new ShowAudit(parseOptionalRevision("--since", this.since));
  }
}
