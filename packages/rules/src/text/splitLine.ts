/** A word of a line and the column where it starts. */
export interface Word {
  readonly text: string;
  /** Column in the line, starting at 1. */
  readonly column: number;
}

/** A line split into words and comment, before it is parsed as a rule. */
export interface SplitLine {
  /** The words before the comment; empty for blank lines and comment lines. */
  readonly words: readonly Word[];
  /** The trimmed text after the first `#`; null if the line has none. */
  readonly comment: string | null;
  /** Column of the `#`, or the column after the last character if there is no comment. */
  readonly commentColumn: number;
}

const COMMENT_MARK = "#";

/**
 * Splits a file into lines.
 *
 * @param text - The whole file.
 * @returns The lines, without line terminators.
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
 * Splits a line into words and comment.
 *
 * @param line - One line of the file.
 */
export const splitLine = (line: string): SplitLine => {
  const markIndex = line.indexOf(COMMENT_MARK);
  return {
    words: splitWords(markIndex < 0 ? line : line.slice(0, markIndex)),
    comment: markIndex < 0 ? null : line.slice(markIndex + COMMENT_MARK.length).trim(),
    commentColumn: (markIndex < 0 ? line.trimEnd().length : markIndex) + 1,
  };
};
