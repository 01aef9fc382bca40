import { RULE_KIND, RULE_PROBLEM_KIND } from "./constants.js";
import { grammarOfRule } from "./grammar/grammars.js";
import { ruleIdentity } from "./text/identity.js";
import type { SplitLine } from "./text/splitLine.js";
import type { Rule, RuleProblem } from "./types.js";

/** A rule with the line that states it. */
export interface NumberedRule {
  readonly rule: Rule;
  readonly text: string;
}

/**
 * @param lines - All lines of the file, taken apart.
 * @param identities - The rule that each of them states; null where it states none.
 * @returns A problem for each line that states a rule again.
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
      problem: `"${identity}" already stands in line ${firstLine}`,
      remedy: "Keep one of the two lines",
    });
  });
  return problems;
};

/**
 * @param rules - The rules whose lines are sound by themselves.
 * @returns A problem for each key that has the secret of an earlier one.
 */
export const findSharedHashes = (rules: readonly NumberedRule[]): readonly RuleProblem[] => {
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
        problem: `The key has the same secret as the one in line ${firstLine}`,
        remedy: "Grant a key of its own with `heatherferry keys grant`",
      });
    }
  }
  return problems;
};

/**
 * @param numbered - A rule whose line is sound by itself.
 * @param declared - All rules that the file states, sound or not.
 * @returns A problem for each name in it that no line declares.
 */
export const findUnknownNames = (
  { rule, text }: NumberedRule,
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
