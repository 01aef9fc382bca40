import type { RuleSet } from "@heatherferry/rules";

/** A small change that can be applied to any revision, so concurrent changes do not conflict. */
export abstract class RulesEdit {
  /** Text printed when the change is in force. */
  abstract readonly successMessage: string;

  /**
   * Applies the edit.
   *
   * @param text - Text of the rules in force.
   * @param rules - The same rules, parsed.
   * @returns Text of the new rules; unchanged if the edit is already in force.
   * @throws HeatherferryError if the edit is not possible on these rules.
   */
  abstract apply(text: string, rules: RuleSet): string;
}
