import { type SplitLine, splitLine } from "./splitLine.js";

/**
 * Returns the identity of a rule: its kind and name. Two lines with the same identity state the
 * same rule.
 *
 * @param kind - Kind of the rule.
 * @param name - Name of the rule.
 */
export const ruleIdentity = (kind: string, name: string): string => `${kind} ${name}`;

/**
 * Returns the identity of the rule on a split line.
 *
 * @param line - A split line.
 * @returns The identity, or null for blank lines and comment lines.
 */
export const identityOfSplit = ({ words: [kind, name] }: SplitLine): string | null =>
  kind === undefined ? null : ruleIdentity(kind.text, name?.text ?? "");

/**
 * Returns the identity of the rule on a line.
 *
 * @param line - One line of a rules file.
 * @returns The identity, or null for blank lines and comment lines.
 */
export const identityOf = (line: string): string | null => identityOfSplit(splitLine(line));
