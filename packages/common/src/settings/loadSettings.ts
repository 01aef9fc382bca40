import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { z } from "zod";
import { messageOf } from "../errors.js";
import { SETTINGS_ERROR_KIND, SettingsError } from "./errors.js";

const readText = (path: string): string => {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    throw new SettingsError(
      SETTINGS_ERROR_KIND.UNREADABLE,
      `${path}: ${messageOf(cause)}`,
      "Pass the path of a readable TOML file with --settings",
      { cause },
    );
  }
};

const parseToml = (path: string, text: string): unknown => {
  try {
    return parse(text);
  } catch (cause) {
    throw new SettingsError(
      SETTINGS_ERROR_KIND.NOT_TOML,
      `${path}: ${messageOf(cause)}`,
      "Correct the TOML at the line shown",
      { cause },
    );
  }
};

const describeIssue = (issue: z.core.$ZodIssue): string => {
  if (issue.code === "unrecognized_keys") {
    const parentPath = issue.path.join(".");
    const keys = issue.keys.map((key) => (parentPath === "" ? key : `${parentPath}.${key}`));
    return `unknown key ${keys.join(", ")}`;
  }
  return `key ${issue.path.join(".")}: ${issue.message}`;
};

/**
 * Reads and validates a TOML settings file.
 *
 * @param path - Path of the file.
 * @param schema - Strict schema of the whole file.
 * @returns The validated settings.
 * @throws SettingsError that names the file, each invalid key and the remedy.
 */
export const loadSettings = <Schema extends z.ZodType>(
  path: string,
  schema: Schema,
): z.output<Schema> => {
  const result = schema.safeParse(parseToml(path, readText(path)));
  if (result.success) {
    return result.data;
  }
  throw new SettingsError(
    SETTINGS_ERROR_KIND.INVALID,
    `${path}: ${result.error.issues.map(describeIssue).join("; ")}`,
    "Correct or remove these keys and start again; --help lists the known ones",
  );
};
