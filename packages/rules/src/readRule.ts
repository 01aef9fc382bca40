import { RULE_KIND, RULE_PROBLEM_KIND } from "./constants.js";
import { FieldReader } from "./grammar/fieldReader.js";
import { grammarOf } from "./grammar/grammars.js";
import type { SplitLine } from "./text/splitLine.js";
import type { Rule, RuleProblem } from "./types.js";

/** What came of one line. */
export interface RuleReading {
  /** Null when the line has no rule, or one with problems. */
  readonly rule: Rule | null;
  readonly problems: readonly RuleProblem[];
}

const NOTHING: RuleReading = { rule: null, problems: [] };

const CONTROL_CHARACTER = /[\u0000-\u0008\u000A-\u001F\u007F-\u009F]/u;

const findControlCharacter = (reader: FieldReader, text: string): void => {
  const at = text.search(CONTROL_CHARACTER);
  if (at >= 0) {
    reader.report(
      RULE_PROBLEM_KIND.MALFORMED,
      at + 1,
      "The line holds a control character",
      "Remove it; only spaces and tabs may stand between words",
    );
  }
};

const checkComment = (reader: FieldReader, comment: string | null, column: number): void => {
  if (comment === null || !/[\p{L}\p{N}]/u.test(comment)) {
    reader.report(
      RULE_PROBLEM_KIND.NO_COMMENT,
      column,
      "The rule does not say who asked for it",
      "End the line with a comment: # who asked, why",
    );
  }
};

/**
 * @param text - One line of the file.
 * @param split - The same line taken apart.
 * @param line - Its number, from 1.
 * @returns The rule on it, and all that is wrong with it.
 */
export const readRule = (text: string, split: SplitLine, line: number): RuleReading => {
  const { words, comment, commentColumn } = split;
  const first = words[0];
  const reader = new FieldReader(line, words);
  findControlCharacter(reader, text);
  if (first === undefined) {
    return reader.problems.length === 0 ? NOTHING : { rule: null, problems: reader.problems };
  }
  checkComment(reader, comment, commentColumn);
  const grammar = grammarOf(first.text);
  if (grammar === null) {
    reader.report(
      RULE_PROBLEM_KIND.UNKNOWN_KIND,
      first.column,
      `"${first.text}" is not a kind of rule`,
      `Begin the line with one of ${Object.values(RULE_KIND).join(", ")}`,
    );
    return { rule: null, problems: reader.problems };
  }
  reader.takeApart(grammar.fields);
  const rule = grammar.read(reader, { line, askedBy: comment ?? "" });
  return { rule: reader.problems.length === 0 ? rule : null, problems: reader.problems };
};
