import { identityOf } from "./text/identity.js";
import { splitLines } from "./text/splitLine.js";

/** The line of a rule in one of two compared files. */
export interface RuleLine {
  /** Line number in its file, starting at 1. */
  readonly line: number;
  readonly text: string;
}

/** A rule that is in both files with different text. */
export interface ChangedRule {
  readonly from: RuleLine;
  readonly to: RuleLine;
}

/** Differences between two files, by rule; the order of lines and white space are ignored. */
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
    // Validation rejects a second line for the same rule, but the diff shows it.
    const key = lines.has(identity) ? `${identity} ${index}` : identity;
    lines.set(key, { line: index + 1, text: lineText.trim() });
  });
  return lines;
};

const normalized = (line: RuleLine): string => line.text.replaceAll(/\s+/gu, " ");

/**
 * Compares two rules files.
 *
 * @param fromText - The earlier file.
 * @param toText - The later file.
 * @returns The rules added, removed and changed; a different comment is a change.
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
 * Whether the compared files have the same rules.
 *
 * @param diff - Result of the comparison.
 */
export const isEmptyDiff = (diff: RulesDiff): boolean =>
  diff.added.length + diff.removed.length + diff.changed.length === 0;

/**
 * Returns the lines that only the later file has.
 *
 * @param diff - Result of the comparison.
 */
export const addedLines = (diff: RulesDiff): readonly string[] =>
  [...diff.added, ...diff.changed.map(({ to }) => to)].map(({ text }) => text);

/**
 * Returns the lines that only the earlier file has.
 *
 * @param diff - Result of the comparison.
 */
export const removedLines = (diff: RulesDiff): readonly string[] =>
  [...diff.removed, ...diff.changed.map(({ from }) => from)].map(({ text }) => text);

/**
 * Formats a difference for operators.
 *
 * @param diff - Result of the comparison.
 * @returns Removed lines prefixed with `-` and added lines prefixed with `+`.
 */
export const formatDiff = (diff: RulesDiff): string => {
  const removed = diff.removed.map(({ text }) => `- ${text}\n`);
  const changed = diff.changed.map(({ from, to }) => `- ${from.text}\n+ ${to.text}\n`);
  const added = diff.added.map(({ text }) => `+ ${text}\n`);
  return [...removed, ...changed, ...added].join("");
};
