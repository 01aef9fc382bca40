import type { TeamId } from "@heatherferry/common";
import {
  appendRule,
  formatRule,
  RULE_KIND,
  RULES_ERROR_KIND,
  RulesError,
  type RuleSet,
} from "@heatherferry/rules";
import { RulesEdit } from "../edit/rulesEdit.js";
import { hashSecret, nameKey } from "./keySecret.js";

/** Adds a new key for a team. */
export class GrantKey extends RulesEdit {
  override readonly successMessage: string;
  private readonly line: string;

  /**
   * @param team - Team that the key is for.
   * @param secret - Secret that the team's callers present.
   * @param askedBy - Who asked for the key, in a single line.
   */
  constructor(
    private readonly team: TeamId,
    secret: string,
    askedBy: string,
  ) {
    super();
    const hash = hashSecret(secret);
    const key = nameKey(team, hash);
    this.line = formatRule({ kind: RULE_KIND.KEY, line: 0, key, team, hash, askedBy });
    this.successMessage =
      `Key ${key} of team ${team}. The secret is shown this once; the rules keep its hash:\n` +
      secret;
  }

  override apply(text: string, rules: RuleSet): string {
    if (!rules.teams.has(this.team)) {
      throw new RulesError(
        RULES_ERROR_KIND.NO_SUCH_RULE,
        `The rules have no team "${this.team}"`,
        "Look the name up with `heatherferry show`, or add a team line first",
      );
    }
    return appendRule(text, this.line);
  }
}
