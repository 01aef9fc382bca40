import { readFileSync } from "node:fs";
import { messageOf, type Revision, revision } from "@heatherferry/common";
import { COMMAND_ERROR_KIND, CommandError } from "../errors.js";

/**
 * Reads a whole text file.
 *
 * @param path - Path of the file.
 * @throws CommandError if the file cannot be read.
 */
export const readTextFile = (path: string): string => {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    throw new CommandError(
      COMMAND_ERROR_KIND.UNREADABLE_FILE,
      `${path}: ${messageOf(cause)}`,
      "Pass the path of a readable file",
      { cause },
    );
  }
};

/**
 * Parses the value of an option as a non-negative whole number.
 *
 * @param option - Name of the option, for the error message.
 * @param text - Value of the option.
 * @throws CommandError if the value is not a whole number.
 */
export const parseWholeNumber = (option: string, text: string): number => {
  if (!/^\d{1,15}$/u.test(text)) {
    throw new CommandError(
      COMMAND_ERROR_KIND.BAD_OPTION,
      `${option} "${text}" is not a whole number`,
      "Use digits only",
    );
  }
  return Number(text);
};

/**
 * Parses the value of an option as a revision.
 *
 * @param option - Name of the option, for the error message.
 * @param text - Value of the option; undefined if it was not passed.
 * @returns The revision; null if the option was not passed.
 * @throws CommandError if the value is not a revision.
 */
export const parseOptionalRevision = (option: string, text: string | undefined): Revision | null =>
  text === undefined ? null : revision(parseWholeNumber(option, text));

/**
 * Checks that the value of an option is a single line, and trims it. The text becomes a comment in
 * the rules, where a line break would start a new rule.
 *
 * @param option - Name of the option, for the error message.
 * @param text - Value of the option.
 * @returns The trimmed text.
 * @throws CommandError if the text has no letter or digit, or contains a control character.
 */
export const parseSingleLine = (option: string, text: string): string => {
  const trimmed = text.trim();
  if (/\p{Cc}/u.test(trimmed) || !/[\p{L}\p{N}]/u.test(trimmed)) {
    throw new CommandError(
      COMMAND_ERROR_KIND.BAD_OPTION,
      `${option} is not a single line of text`,
      "Say who asked, and why, without line breaks",
    );
  }
  return trimmed;
};
