import { EXIT_CODE } from "@heatherferry/common";
import { STREAM } from "../constants.js";
import type { Finish, Output } from "./types.js";

const withLineEnd = (text: string): string =>
  text === "" || text.endsWith("\n") ? text : `${text}\n`;

export const out = (text: string): Output => ({ stream: STREAM.OUT, text: withLineEnd(text) });

export const err = (text: string): Output => ({ stream: STREAM.ERR, text: withLineEnd(text) });

/**
 * @param text - The result.
 * @returns The end of a command that did what was asked.
 */
export const done = (text: string): Finish => ({
  type: "finish",
  outputs: [out(text)],
  exitCode: EXIT_CODE.OK,
});

/**
 * @param text - What went wrong, and the remedy.
 * @returns The end of a command that could not do what was asked.
 */
export const failed = (text: string): Finish => ({
  type: "finish",
  outputs: [err(text)],
  exitCode: EXIT_CODE.FAILED,
});
