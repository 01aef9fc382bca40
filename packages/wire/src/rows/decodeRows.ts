import type { RowBody, TableRow } from "@heatherferry/core";
import { z } from "zod";
import { ROW_BODY_SCHEMA, TABLE_ROW_SCHEMA } from "./rowSchemas.js";

/** Decoded rows, and the keys of the rows that could not be decoded. */
export interface DecodedRows {
  readonly rows: readonly TableRow[];
  readonly unreadableKeys: readonly string[];
}

const KEYED_ROW = z.object({ key: z.string() });

const keyOf = (raw: unknown): string => {
  const keyed = KEYED_ROW.safeParse(raw);
  return keyed.success ? keyed.data.key : "";
};

/**
 * Decodes rows of the table.
 *
 * @param rawRows - Rows as parsed JSON.
 * @returns The typed rows, and the keys of rows that are malformed or of an unknown type.
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
 * Decodes the body of a row.
 *
 * @param raw - The body as parsed JSON.
 * @returns The typed body, or null if it is malformed.
 */
export const decodeRowBody = (raw: unknown): RowBody | null => {
  const result = ROW_BODY_SCHEMA.safeParse(raw);
  return result.success ? (result.data as unknown as RowBody) : null;
};
