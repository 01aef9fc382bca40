import { EXIT_CODE } from "@heatherferry/common";
import { STREAM } from "../constants.js";
import type { Finish, Output } from "./types.js";

const withLineEnd = (text: string): string =>
  text === "" || text.endsWith("\n") ? text : `${text}\n`;

/** Returns a result as whole lines on standard output. */
export const out = (text: string): Output => ({ stream: STREAM.OUT, text: withLineEnd(text) });

/** Returns a message about the command itself as whole lines on standard error. */
export const err = (text: string): Output => ({ stream: STREAM.ERR, text: withLineEnd(text) });

/**
 * Finishes a command that succeeded.
 *
 * @param text - Result to print.
 */
export const done = (text: string): Finish => ({
  type: "finish",
  outputs: [out(text)],
  exitCode: EXIT_CODE.OK,
});

/**
 * Finishes a command that failed.
 *
 * @param text - What went wrong, and the remedy.
 */
export const failed = (text: string): Finish => ({
  type: "finish",
  outputs: [err(text)],
  exitCode: EXIT_CODE.FAILED,
});
