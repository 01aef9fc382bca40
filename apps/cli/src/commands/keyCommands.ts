import { teamId } from "@heatherferry/common";
import { Command, Option } from "clipanion";
import { EditRules } from "../edit/editRules.js";
import { GrantKey } from "../keys/grantKey.js";
import { WithdrawKey } from "../keys/withdrawKey.js";
import type { Operation } from "../operation/operation.js";
import { parseSingleLine } from "./arguments.js";
import { RulesCommand } from "./operatorCommand.js";

const CATEGORY = "Keys";

/** Grants a new key to a team. */
export class KeysGrantCommand extends RulesCommand {
  static override paths = [["keys", "grant"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Grant a team a new key",
    details: "Prints the secret once. The rules keep only its SHA-256.",
    examples: [["A key for team bodegas", '$0 keys grant bodegas --asked-by "Ana, new press"']],
  });

  team = Option.String();
  askedBy = Option.String("--asked-by", {
    required: true,
    description: "Who asked for it, and why",
  });

  protected override createOperation(): Operation {
    const askedBy = parseSingleLine("--asked-by", this.askedBy);
    const secret = this.context.environment.newSecret();
    return new EditRules(new GrantKey(teamId(this.team), secret, askedBy), this.author());
  }
}

/** Withdraws an API key: removes the key with the given name from the rules. */
export class KeysWithdrawCommand extends RulesCommand {
  static override paths = [["keys", "withdraw"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Withdraw a key",
    examples: [["Withdraw a key by its name", "$0 keys withdraw bodegas-1f2e3d4c"]],
  });

  key = Option.String();

  protected override createOperation(): Operation {
    return new EditRules(new WithdrawKey(this.key), this.author());
  }
}
