/** A word of a line and where it begins. */
export interface Word {
  readonly text: string;
  /** From 1. */
  readonly column: number;
}

/** A line taken apart, before any of it is understood. */
export interface SplitLine {
  /** The words before the comment; empty on blank lines and whole-line comments. */
  readonly words: readonly Word[];
  /** The text after the first `#`, trimmed; null without one. */
  readonly comment: string | null;
  /** Where a comment begins, or would be put. */
  readonly commentColumn: number;
}

const COMMENT_MARK = "#";

/**
 * @param text - A whole file.
 * @returns Its lines, without their ends.
 */
export const splitLines = (text: string): readonly string[] => text.split(/\r?\n/u);

const splitWords = (statement: string): readonly Word[] => {
  const words: Word[] = [];
  let column = 1;
  for (const text of statement.split(/(\s+)/u)) {
    if (text.trim() !== "") {
      words.push({ text, column });
    }
    column += text.length;
  }
  return words;
};

/**
 * @param line - One line of the file.
 * @returns Its words and its comment.
 */
export const splitLine = (line: string): SplitLine => {
  const mark = line.indexOf(COMMENT_MARK);
  return {
    words: splitWords(mark < 0 ? line : line.slice(0, mark)),
    comment: mark < 0 ? null : line.slice(mark + COMMENT_MARK.length).trim(),
    commentColumn: (mark < 0 ? line.trimEnd().length : mark) + 1,
  };
};
