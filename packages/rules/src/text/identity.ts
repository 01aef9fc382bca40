import { type SplitLine, splitLine } from "./splitLine.js";

/**
 * @param kind - Kind of a rule.
 * @param name - Its name.
 * @returns What makes it the same rule in two files.
 */
export const ruleIdentity = (kind: string, name: string): string => `${kind} ${name}`;

/**
 * @param line - A line taken apart.
 * @returns Its kind and name in one text; null on blank lines and whole-line comments.
 */
export const identityOfSplit = ({ words: [kind, name] }: SplitLine): string | null =>
  kind === undefined ? null : ruleIdentity(kind.text, name?.text ?? "");

/**
 * @param line - One line of a rules file.
 * @returns Its kind and name in one text; null on blank lines and whole-line comments.
 */
export const identityOf = (line: string): string | null => identityOfSplit(splitLine(line));
