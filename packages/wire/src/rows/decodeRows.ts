import type { RowBody, TableRow } from "@heatherferry/core";
import { z } from "zod";
import { ROW_BODY_SCHEMA, TABLE_ROW_SCHEMA } from "./rowSchemas.js";

/** Rows that could be read, and the keys of those that could not. */
export interface DecodedRows {
  readonly rows: readonly TableRow[];
  readonly unreadableKeys: readonly string[];
}

const KEYED = z.object({ key: z.string() });

const keyOf = (raw: unknown): string => {
  const keyed = KEYED.safeParse(raw);
  return keyed.success ? keyed.data.key : "";
};

/**
 * @param rawRows - Rows as JSON.
 * @returns The typed rows; a row of an unknown or malformed kind is left out and named.
 */
export const decodeRows = (rawRows: readonly unknown[]): DecodedRows => {
  const rows: TableRow[] = [];
  const unreadableKeys: string[] = [];
  for (const raw of rawRows) {
    const result = TABLE_ROW_SCHEMA.safeParse(raw);
    if (result.success) {
      rows.push(result.data as unknown as TableRow);
    } else {
      unreadableKeys.push(keyOf(raw));
    }
  }
  return { rows, unreadableKeys };
};

/**
 * @param raw - The body of a row as JSON.
 * @returns The typed body, or null when it is malformed.
 */
export const decodeRowBody = (raw: unknown): RowBody | null => {
  const result = ROW_BODY_SCHEMA.safeParse(raw);
  return result.success ? (result.data as unknown as RowBody) : null;
};
