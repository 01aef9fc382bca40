import { RULE_KIND, RULE_PROBLEM_KIND } from "./constants.js";
import { FieldReader } from "./grammar/fieldReader.js";
import { grammarOf } from "./grammar/grammars.js";
import type { SplitLine } from "./text/splitLine.js";
import type { Rule, RuleProblem } from "./types.js";

/** The result of parsing one line. */
export interface ParsedLine {
  /** The rule; null if the line has none or has problems. */
  readonly rule: Rule | null;
  readonly problems: readonly RuleProblem[];
}

const EMPTY_LINE: ParsedLine = { rule: null, problems: [] };

const CONTROL_CHARACTER = /[\u0000-\u0008\u000A-\u001F\u007F-\u009F]/u;

const checkControlCharacters = (reader: FieldReader, text: string): void => {
  const index = text.search(CONTROL_CHARACTER);
  if (index >= 0) {
    reader.report(
      RULE_PROBLEM_KIND.MALFORMED,
      index + 1,
      "The line contains a control character",
      "Remove it; separate words with spaces or tabs",
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
 * Parses one line of a rules file.
 *
 * @param text - The line.
 * @param split - The same line, split into words and comment.
 * @param line - Line number in the file, starting at 1.
 * @returns The rule on the line, and all problems of the line.
 */
export const readRule = (text: string, split: SplitLine, line: number): ParsedLine => {
  const { words, comment, commentColumn } = split;
  const first = words[0];
  const reader = new FieldReader(line, words);
  checkControlCharacters(reader, text);
  if (first === undefined) {
    return reader.problems.length === 0 ? EMPTY_LINE : { rule: null, problems: reader.problems };
  }
  checkComment(reader, comment, commentColumn);
  const grammar = grammarOf(first.text);
  if (grammar === null) {
    reader.report(
      RULE_PROBLEM_KIND.UNKNOWN_KIND,
      first.column,
      `"${first.text}" is not a kind of rule`,
      `Start the line with one of ${Object.values(RULE_KIND).join(", ")}`,
    );
    return { rule: null, problems: reader.problems };
  }
  reader.parseFields(grammar.fields);
  const rule = grammar.read(reader, { line, askedBy: comment ?? "" });
  return { rule: reader.problems.length === 0 ? rule : null, problems: reader.problems };
};
