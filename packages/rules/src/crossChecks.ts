import { RULE_KIND, RULE_PROBLEM_KIND } from "./constants.js";
import { grammarOfRule } from "./grammar/grammars.js";
import { ruleIdentity } from "./text/identity.js";
import type { SplitLine } from "./text/splitLine.js";
import type { Rule, RuleProblem } from "./types.js";

/** A rule with the text of its line. */
export interface RuleWithText {
  readonly rule: Rule;
  readonly text: string;
}

/**
 * Finds rules that appear on more than one line.
 *
 * @param lines - All lines of the file, split.
 * @param identities - Identity of the rule on each line; null for lines without a rule.
 * @returns A problem for each line that repeats the rule of an earlier line.
 */
export const findDuplicates = (
  lines: readonly SplitLine[],
  identities: readonly (string | null)[],
): readonly RuleProblem[] => {
  const firstLines = new Map<string, number>();
  const problems: RuleProblem[] = [];
  identities.forEach((identity, index) => {
    if (identity === null) {
      return;
    }
    const firstLine = firstLines.get(identity);
    if (firstLine === undefined) {
      firstLines.set(identity, index + 1);
      return;
    }
    problems.push({
      kind: RULE_PROBLEM_KIND.DUPLICATE,
      line: index + 1,
      column: lines[index]?.words[0]?.column ?? 1,
      problem: `"${identity}" is already defined on line ${firstLine}`,
      remedy: "Keep one of the two lines",
    });
  });
  return problems;
};

/**
 * Finds keys that share a secret.
 *
 * @param rules - The rules whose lines are valid in themselves.
 * @returns A problem for each key that has the same secret as an earlier key.
 */
export const findSharedHashes = (rules: readonly RuleWithText[]): readonly RuleProblem[] => {
  const firstLines = new Map<string, number>();
  const problems: RuleProblem[] = [];
  for (const { rule, text } of rules) {
    if (rule.kind !== RULE_KIND.KEY) {
      continue;
    }
    const firstLine = firstLines.get(rule.hash);
    firstLines.set(rule.hash, firstLine ?? rule.line);
    if (firstLine !== undefined) {
      problems.push({
        kind: RULE_PROBLEM_KIND.DUPLICATE,
        line: rule.line,
        column: text.indexOf(rule.hash) + 1,
        problem: `The key has the same secret as the key on line ${firstLine}`,
        remedy: "Create a separate key with `heatherferry keys grant`",
      });
    }
  }
  return problems;
};

/**
 * Finds names that a rule uses and no line declares.
 *
 * @param ruleWithText - A rule whose line is valid in itself.
 * @param declared - Identities of all rules in the file, valid or not.
 * @returns A problem for each undeclared name.
 */
export const findUnknownNames = (
  { rule, text }: RuleWithText,
  declared: ReadonlySet<string>,
): readonly RuleProblem[] =>
  grammarOfRule(rule)
    .references(rule)
    .filter(({ kind, name }) => !declared.has(ruleIdentity(kind, name)))
    .map(({ kind, name, field, problemKind }) => ({
      kind: problemKind,
      line: rule.line,
      column: text.indexOf(`${field}=${name}`) + field.length + 2,
      problem: `There is no ${kind} "${name}"`,
      remedy: `Add a ${kind} line for it, or correct the name`,
    }));
