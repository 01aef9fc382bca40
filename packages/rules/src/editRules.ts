import { RULES_ERROR_KIND, RulesError } from "./errors.js";
import { identityOf, ruleIdentity } from "./text/identity.js";
import { splitLine } from "./text/splitLine.js";
import type { RuleKind } from "./types.js";

/** Keeps the line terminators, so that an edit leaves all other lines unchanged byte for byte. */
const linesWithEnds = (text: string): readonly string[] => text.match(/[^\n]*\n|[^\n]+$/gu) ?? [];

const noSuchRule = (identity: string): RulesError =>
  new RulesError(
    RULES_ERROR_KIND.NO_SUCH_RULE,
    `The rules have no line "${identity}"`,
    "Look the name up with `heatherferry show`",
  );

const indexOfRule = (lines: readonly string[], kind: RuleKind, name: string): number => {
  const identity = ruleIdentity(kind, name);
  const index = lines.findIndex((line) => identityOf(line) === identity);
  if (index < 0) {
    throw noSuchRule(identity);
  }
  return index;
};

/**
 * Appends a line to a rules file.
 *
 * @param text - A rules file.
 * @param line - The line to append.
 * @returns The new text; all other lines are unchanged.
 */
export const appendRule = (text: string, line: string): string => {
  const separator = text === "" || text.endsWith("\n") ? "" : "\n";
  return `${text}${separator}${line}\n`;
};

/**
 * Removes the line of a rule.
 *
 * @param text - A rules file.
 * @param kind - Kind of the rule.
 * @param name - Name of the rule.
 * @returns The new text; all other lines are unchanged.
 * @throws RulesError if there is no such rule.
 */
export const removeRule = (text: string, kind: RuleKind, name: string): string => {
  const lines = linesWithEnds(text);
  const index = indexOfRule(lines, kind, name);
  return lines.filter((_, at) => at !== index).join("");
};

const replaceField = (line: string, field: string, value: string): string => {
  const { words } = splitLine(line);
  const fieldWord = `${field}=${value}`;
  const word = words.find(({ text }) => text.startsWith(`${field}=`));
  if (word !== undefined) {
    const start = word.column - 1;
    return line.slice(0, start) + fieldWord + line.slice(start + word.text.length);
  }
  const last = words.at(-1);
  const end = last === undefined ? 0 : last.column - 1 + last.text.length;
  return `${line.slice(0, end)} ${fieldWord}${line.slice(end)}`;
};

/**
 * Sets one field of a rule; adds the field if the line does not have it.
 *
 * @param text - A rules file.
 * @param kind - Kind of the rule.
 * @param name - Name of the rule.
 * @param field - Name of the field.
 * @param value - Text of the new value.
 * @returns The new text; everything else is unchanged.
 * @throws RulesError if there is no such rule.
 */
export const setField = (
  text: string,
  kind: RuleKind,
  name: string,
  field: string,
  value: string,
): string => {
  const lines = linesWithEnds(text);
  const index = indexOfRule(lines, kind, name);
  return lines.map((line, at) => (at === index ? replaceField(line, field, value) : line)).join("");
};
