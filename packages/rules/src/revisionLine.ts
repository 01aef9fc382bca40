import { type Revision, revision } from "@heatherferry/common";

const REVISION_LINE = /^\uFEFF?# revision (\d{1,15})[ \t]*(?:\r?\n|$)/u;

/**
 * @param text - A rules file.
 * @returns The revision that its first line names; null where it names none.
 */
export const revisionOfText = (text: string): Revision | null => {
  const digits = REVISION_LINE.exec(text)?.[1];
  return digits === undefined ? null : revision(Number(digits));
};

/**
 * @param text - A rules file, with or without a revision line.
 * @param of - The revision to name.
 * @returns The file with `# revision N` as its first line.
 */
export const withRevisionLine = (text: string, of: Revision): string =>
  `# revision ${of}\n${text.replace(REVISION_LINE, "")}`;
