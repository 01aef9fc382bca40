import type { RowToWrite } from "../events.js";

const ASCII = /^[\0-\u007f]*$/u;

const utf8Bytes = (text: string): number =>
  ASCII.test(text) ? text.length : new TextEncoder().encode(text).length;

/** Returns the size of a value of that many bytes in base64, in which the store takes values. */
export const base64Bytes = (bytes: number): number => 4 * Math.ceil(bytes / 3);

/** Returns the stored size of what a row holds, in bytes. */
export const storedBytes = (row: RowToWrite): number => base64Bytes(utf8Bytes(JSON.stringify(row)));
