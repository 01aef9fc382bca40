import type { RuleSet } from "@heatherferry/rules";

/** A small change of the rules in force that does not clash with what others change. */
export abstract class RulesEdit {
  /** What the operator is told once the change is in force. */
  abstract readonly report: string;

  /**
   * @param text - The rules in force.
   * @param rules - The same, parsed.
   * @returns The new rules.
   * @throws HeatherferryError when the rules do not allow it.
   */
  abstract apply(text: string, rules: RuleSet): string;
}
