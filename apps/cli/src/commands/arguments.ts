import { readFileSync } from "node:fs";
import { messageOf, type Revision, revision } from "@heatherferry/common";
import { COMMAND_ERROR_KIND, CommandError } from "../errors.js";

/**
 * @param path - Path of a text file.
 * @returns The whole file.
 * @throws CommandError when it cannot be read.
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
 * @param option - Name of an option.
 * @param text - Its value.
 * @returns The whole number.
 * @throws CommandError when it is none.
 */
export const wholeNumber = (option: string, text: string): number => {
  if (!/^\d{1,15}$/u.test(text)) {
    throw new CommandError(
      COMMAND_ERROR_KIND.BAD_OPTION,
      `${option} "${text}" is not a whole number`,
      "Write digits only",
    );
  }
  return Number(text);
};

/**
 * @param option - Name of an option.
 * @param text - Its value; undefined where the option was not given.
 * @returns The revision; null where the option was not given.
 * @throws CommandError when it is no revision.
 */
export const optionalRevision = (option: string, text: string | undefined): Revision | null =>
  text === undefined ? null : revision(wholeNumber(option, text));

/**
 * Text that becomes a comment in the rules: a line break in it would begin a rule of its own.
 *
 * @param option - Name of an option.
 * @param text - Its value.
 * @returns The text, trimmed.
 * @throws CommandError when it is empty or not one line.
 */
export const oneLine = (option: string, text: string): string => {
  const trimmed = text.trim();
  if (/\p{Cc}/u.test(trimmed) || !/[\p{L}\p{N}]/u.test(trimmed)) {
    throw new CommandError(
      COMMAND_ERROR_KIND.BAD_OPTION,
      `${option} is not one line of text`,
      "Write who asked, and why, without line breaks",
    );
  }
  return trimmed;
};
