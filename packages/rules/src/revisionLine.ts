import { type Revision, revision } from "@heatherferry/common";

const REVISION_LINE = /^\uFEFF?# revision (\d{1,15})[ \t]*(?:\r?\n|$)/u;

/**
 * Reads the revision line of a rules file.
 *
 * @param text - A rules file.
 * @returns The revision on the first line; null if the file does not start with a revision line.
 */
export const revisionOfText = (text: string): Revision | null => {
  const digits = REVISION_LINE.exec(text)?.[1];
  return digits === undefined ? null : revision(Number(digits));
};

/**
 * Adds a revision line to a rules file, or replaces the one that it has.
 *
 * @param text - A rules file, with or without a revision line.
 * @param newRevision - The revision of the file.
 * @returns The file with `# revision N` as its first line.
 */
export const withRevisionLine = (text: string, newRevision: Revision): string =>
  `# revision ${newRevision}\n${text.replace(REVISION_LINE, "")}`;
