import { assertNever } from "@heatherferry/common";
import { RULE_KIND, RULE_PROBLEM_KIND, RULES } from "./constants.js";
import { EMPTY_RULE_SET } from "./emptyRuleSet.js";
import { rulesProblemsError } from "./errors.js";
import { grammarOfRule } from "./grammar/grammars.js";
import { readRule } from "./readRule.js";
import { identityOfSplit, ruleIdentity } from "./text/identity.js";
import { type SplitLine, splitLine, splitLines } from "./text/splitLine.js";
import type { Rule, RuleProblem, RuleSet } from "./types.js";

/** A file that was read, with all that is wrong in it. */
export interface ParsedRules {
  /** To be used only when there are no problems: else it holds just the sound lines. */
  readonly rules: RuleSet;
  /** In line order. */
  readonly problems: readonly RuleProblem[];
}

interface NumberedRule {
  readonly rule: Rule;
  readonly text: string;
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

const findDuplicates = (lines: readonly SplitLine[]): readonly RuleProblem[] => {
  const firstLines = new Map<string, number>();
  const problems: RuleProblem[] = [];
  lines.forEach((line, index) => {
    const identity = identityOfSplit(line);
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
      column: line.words[0]?.column ?? 1,
      problem: `"${identity}" already stands in line ${firstLine}`,
      remedy: "Keep one of the two lines",
    });
  });
  return problems;
};

const findSharedHashes = (rules: readonly NumberedRule[]): readonly RuleProblem[] => {
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

const findUnknownNames = (
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

const declaredIdentities = (lines: readonly SplitLine[]): ReadonlySet<string> =>
  new Set(lines.map(identityOfSplit).filter((identity) => identity !== null));

const byPlace = (a: RuleProblem, b: RuleProblem): number => a.line - b.line || a.column - b.column;

const addTo = (rules: MutableRuleSet, rule: Rule): void => {
  switch (rule.kind) {
    case RULE_KIND.TEAM:
      rules.teams.set(rule.team, rule);
      return;
    case RULE_KIND.KEY:
      rules.keys.set(rule.key, rule);
      return;
    case RULE_KIND.POOL:
      rules.pools.set(rule.pool, rule);
      return;
    case RULE_KIND.QUEUE:
      rules.queues.set(rule.queue, rule);
      return;
    case RULE_KIND.WAVE:
      rules.waves.set(rule.wave, rule);
      return;
    default:
      assertNever(rule);
  }
};

type MutableRuleSet = {
  [Kind in keyof RuleSet]: RuleSet[Kind] extends ReadonlyMap<infer Id, infer R>
    ? Map<Id, R>
    : never;
};

const collect = (rules: readonly Rule[]): RuleSet => {
  const collected: MutableRuleSet = {
    teams: new Map(),
    keys: new Map(),
    pools: new Map(),
    queues: new Map(),
    waves: new Map(),
  };
  for (const rule of rules) {
    addTo(collected, rule);
  }
  return collected;
};

const identityOfRule = (rule: Rule): string =>
  ruleIdentity(rule.kind, grammarOfRule(rule).nameOf(rule));

const keepSound = (
  rules: readonly NumberedRule[],
  problems: readonly RuleProblem[],
): readonly Rule[] => {
  const badLines = new Set(problems.map(({ line }) => line));
  const sound = rules.map(({ rule }) => rule).filter(({ line }) => !badLines.has(line));
  const identities = new Set(sound.map(identityOfRule));
  return sound.filter((rule) =>
    grammarOfRule(rule)
      .references(rule)
      .every(({ kind, name }) => identities.has(ruleIdentity(kind, name))),
  );
};

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
  const rules = readings.flatMap(({ rule }, index) =>
    rule === null ? [] : [{ rule, text: lines[index] ?? "" }],
  );
  const declared = declaredIdentities(splits);
  const problems = [
    ...readings.flatMap((reading) => reading.problems),
    ...findDuplicates(splits),
    ...findSharedHashes(rules),
    ...rules.flatMap((rule) => findUnknownNames(rule, declared)),
  ].sort(byPlace);
  return { rules: collect(keepSound(rules, problems)), problems };
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
