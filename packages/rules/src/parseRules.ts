import { collectRules, keepValid } from "./collectRules.js";
import { RULE_PROBLEM_KIND, RULES } from "./constants.js";
import {
  findDuplicates,
  findSharedHashes,
  findUnknownNames,
  type RuleWithText,
} from "./crossChecks.js";
import { EMPTY_RULE_SET } from "./emptyRuleSet.js";
import { rulesProblemsError } from "./errors.js";
import { readRule } from "./readRule.js";
import { identityOfSplit } from "./text/identity.js";
import { splitLine, splitLines } from "./text/splitLine.js";
import type { RuleProblem, RuleSet } from "./types.js";

/** A parsed rules file with its problems. */
export interface ParsedRules {
  /** Incomplete if there are problems: it then contains only the valid rules. */
  readonly rules: RuleSet;
  /** Ordered by line and column. */
  readonly problems: readonly RuleProblem[];
}

const fileTooLarge = (bytes: number): ParsedRules => ({
  rules: EMPTY_RULE_SET,
  problems: [
    {
      kind: RULE_PROBLEM_KIND.TOO_LARGE,
      line: 1,
      column: 1,
      problem: `The file has ${bytes} bytes, more than the limit of ${RULES.MAX_BYTES}`,
      remedy: "Remove rules that are no longer needed",
    },
  ],
});

const byPosition = (a: RuleProblem, b: RuleProblem): number =>
  a.line - b.line || a.column - b.column;

/**
 * Parses a rules file. Does not throw on invalid text: it returns all problems.
 *
 * @param text - The whole file.
 * @returns The rules, and the problems ordered by line and column.
 */
export const parseRules = (text: string): ParsedRules => {
  const bytes = Buffer.byteLength(text);
  if (bytes > RULES.MAX_BYTES) {
    return fileTooLarge(bytes);
  }
  const lines = splitLines(text);
  const splitResults = lines.map(splitLine);
  const parsedLines = splitResults.map((split, index) =>
    readRule(lines[index] ?? "", split, index + 1),
  );
  const rulesWithText = parsedLines.flatMap(({ rule }, index): readonly RuleWithText[] =>
    rule === null ? [] : [{ rule, text: lines[index] ?? "" }],
  );
  const identities = splitResults.map(identityOfSplit);
  const declared = new Set(identities.filter((identity) => identity !== null));
  const problems = [
    ...parsedLines.flatMap((parsedLine) => parsedLine.problems),
    ...findDuplicates(splitResults, identities),
    ...findSharedHashes(rulesWithText),
    ...rulesWithText.flatMap((rule) => findUnknownNames(rule, declared)),
  ].sort(byPosition);
  const rules = rulesWithText.map(({ rule }) => rule);
  return { rules: collectRules(keepValid(rules, problems)), problems };
};

/**
 * Parses a rules file and rejects it if it has problems.
 *
 * @param text - The whole file.
 * @param path - Name of the file, for messages.
 * @returns The rules.
 * @throws RulesError that lists every problem with its position and remedy.
 */
export const checkedRules = (text: string, path = "rules"): RuleSet => {
  const { rules, problems } = parseRules(text);
  if (problems.length > 0) {
    throw rulesProblemsError(path, problems);
  }
  return rules;
};
