import { identityOf } from "./text/identity.js";
import { splitLines } from "./text/splitLine.js";

/** A rule's line in one of two files. */
export interface RuleLine {
  /** Line in its file, from 1. */
  readonly line: number;
  readonly text: string;
}

/** A rule that stands in both files, on different lines of text. */
export interface ChangedRule {
  readonly from: RuleLine;
  readonly to: RuleLine;
}

/** Differences of two files by rule: the order of lines and blank space do not count. */
export interface RulesDiff {
  readonly added: readonly RuleLine[];
  readonly removed: readonly RuleLine[];
  readonly changed: readonly ChangedRule[];
}

const linesByIdentity = (text: string): ReadonlyMap<string, RuleLine> => {
  const lines = new Map<string, RuleLine>();
  splitLines(text).forEach((lineText, index) => {
    const identity = identityOf(lineText);
    if (identity === null) {
      return;
    }
    // A second line for the same rule is refused by the check, yet shown by the diff.
    const key = lines.has(identity) ? `${identity} ${index}` : identity;
    lines.set(key, { line: index + 1, text: lineText.trim() });
  });
  return lines;
};

const normalized = (line: RuleLine): string => line.text.replaceAll(/\s+/gu, " ");

/**
 * @param fromText - The earlier file.
 * @param toText - The later file.
 * @returns The rules added, removed and changed, comments included.
 */
export const diffRules = (fromText: string, toText: string): RulesDiff => {
  const before = linesByIdentity(fromText);
  const after = linesByIdentity(toText);
  const added: RuleLine[] = [];
  const changed: ChangedRule[] = [];
  for (const [identity, to] of after) {
    const from = before.get(identity);
    if (from === undefined) {
      added.push(to);
    } else if (normalized(from) !== normalized(to)) {
      changed.push({ from, to });
    }
  }
  const removed = [...before].filter(([key]) => !after.has(key)).map(([, line]) => line);
  return { added, removed, changed };
};

/**
 * @param diff - A difference.
 * @returns Whether the files have the same rules.
 */
export const isEmptyDiff = (diff: RulesDiff): boolean =>
  diff.added.length + diff.removed.length + diff.changed.length === 0;

/**
 * @param diff - A difference.
 * @returns The lines that are in the later file and not in the earlier one.
 */
export const addedLines = (diff: RulesDiff): readonly string[] =>
  [...diff.added, ...diff.changed.map(({ to }) => to)].map(({ text }) => text);

/**
 * @param diff - A difference.
 * @returns The lines that are in the earlier file and not in the later one.
 */
export const removedLines = (diff: RulesDiff): readonly string[] =>
  [...diff.removed, ...diff.changed.map(({ from }) => from)].map(({ text }) => text);

/**
 * @param diff - A difference.
 * @returns One line each, `-` before what goes and `+` before what comes.
 */
export const formatDiff = (diff: RulesDiff): string => {
  const removed = diff.removed.map(({ text }) => `- ${text}\n`);
  const changed = diff.changed.map(({ from, to }) => `- ${from.text}\n+ ${to.text}\n`);
  const added = diff.added.map(({ text }) => `+ ${text}\n`);
  return [...removed, ...changed, ...added].join("");
};
