import { RULES_ERROR_KIND, RulesError } from "./errors.js";
import { identityOf, ruleIdentity } from "./text/identity.js";
import { splitLine } from "./text/splitLine.js";
import type { RuleKind } from "./types.js";

/** The line ends stay with their lines, so that an edit leaves all others byte for byte. */
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
 * @param text - A rules file.
 * @param line - The line to add.
 * @returns The file with the line at its end, all others as they were.
 */
export const appendRule = (text: string, line: string): string => {
  const separator = text === "" || text.endsWith("\n") ? "" : "\n";
  return `${text}${separator}${line}\n`;
};

/**
 * @param text - A rules file.
 * @param kind - Kind of the rule.
 * @param name - Its name.
 * @returns The file without that line, all others as they were.
 * @throws RulesError when there is no such line.
 */
export const removeRule = (text: string, kind: RuleKind, name: string): string => {
  const lines = linesWithEnds(text);
  const index = indexOfRule(lines, kind, name);
  return lines.filter((_, at) => at !== index).join("");
};

const replaceField = (line: string, field: string, value: string): string => {
  const { words } = splitLine(line);
  const written = `${field}=${value}`;
  const word = words.find(({ text }) => text.startsWith(`${field}=`));
  if (word !== undefined) {
    const start = word.column - 1;
    return line.slice(0, start) + written + line.slice(start + word.text.length);
  }
  const last = words.at(-1);
  const end = last === undefined ? 0 : last.column - 1 + last.text.length;
  return `${line.slice(0, end)} ${written}${line.slice(end)}`;
};

/**
 * @param text - A rules file.
 * @param kind - Kind of the rule.
 * @param name - Its name.
 * @param field - The field to set.
 * @param value - Its new value, as written.
 * @returns The file with that one field set, all else as it was.
 * @throws RulesError when there is no such line.
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
