import { removeRule, RULE_KIND } from "@heatherferry/rules";
import { RulesEdit } from "../edit/rulesEdit.js";

/** Removes a key from the rules. */
export class WithdrawKey extends RulesEdit {
  override readonly successMessage: string;

  /** @param key - Name of the key. */
  constructor(private readonly key: string) {
    super();
    this.successMessage = `Key ${key} is withdrawn; entry hosts refuse it within seconds.`;
  }

  override apply(text: string): string {
    return removeRule(text, RULE_KIND.KEY, this.key);
  }
}
