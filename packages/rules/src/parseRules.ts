import { collectRules, keepSound } from "./collectRules.js";
import { RULE_PROBLEM_KIND, RULES } from "./constants.js";
import {
  findDuplicates,
  findSharedHashes,
  findUnknownNames,
  type NumberedRule,
} from "./crossChecks.js";
import { EMPTY_RULE_SET } from "./emptyRuleSet.js";
import { rulesProblemsError } from "./errors.js";
import { readRule } from "./readRule.js";
import { identityOfSplit } from "./text/identity.js";
import { splitLine, splitLines } from "./text/splitLine.js";
import type { RuleProblem, RuleSet } from "./types.js";

/** A file that was read, with all that is wrong in it. */
export interface ParsedRules {
  /** To be used only when there are no problems: else it holds just the sound lines. */
  readonly rules: RuleSet;
  /** In line order. */
  readonly problems: readonly RuleProblem[];
}

const tooLarge = (bytes: number): ParsedRules => ({
  rules: EMPTY_RULE_SET,
  problems: [
    {
      kind: RULE_PROBLEM_KIND.TOO_LARGE,
      line: 1,
      column: 1,
      problem: `The file has ${bytes} bytes, above ${RULES.MAX_BYTES}`,
      remedy: "Remove rules that are no longer needed",
    },
  ],
});

const byPlace = (a: RuleProblem, b: RuleProblem): number => a.line - b.line || a.column - b.column;

/**
 * Reads a rules file. Never throws: all problems are returned at once.
 *
 * @param text - The whole file.
 * @returns The rules, and the problems in line order.
 */
export const parseRules = (text: string): ParsedRules => {
  const bytes = Buffer.byteLength(text);
  if (bytes > RULES.MAX_BYTES) {
    return tooLarge(bytes);
  }
  const lines = splitLines(text);
  const splits = lines.map(splitLine);
  const readings = splits.map((split, index) => readRule(lines[index] ?? "", split, index + 1));
  const numbered = readings.flatMap(({ rule }, index): readonly NumberedRule[] =>
    rule === null ? [] : [{ rule, text: lines[index] ?? "" }],
  );
  const identities = splits.map(identityOfSplit);
  const declared = new Set(identities.filter((identity) => identity !== null));
  const problems = [
    ...readings.flatMap((reading) => reading.problems),
    ...findDuplicates(splits, identities),
    ...findSharedHashes(numbered),
    ...numbered.flatMap((rule) => findUnknownNames(rule, declared)),
  ].sort(byPlace);
  const rules = numbered.map(({ rule }) => rule);
  return { rules: collectRules(keepSound(rules, problems)), problems };
};

/**
 * @param text - The whole file.
 * @param path - Name of the file for messages.
 * @returns The rules.
 * @throws RulesError that lists every problem with its place and remedy.
 */
export const checkedRules = (text: string, path = "rules"): RuleSet => {
  const { rules, problems } = parseRules(text);
  if (problems.length > 0) {
    throw rulesProblemsError(path, problems);
  }
  return rules;
};
