import { type Revision, type RowKey, rowKey } from "@heatherferry/common";
import { ROW_PREFIX } from "@heatherferry/core";
import { AUDIT } from "../constants.js";

const digitsOf = (value: number): string => String(value).padStart(AUDIT.REVISION_DIGITS, "0");

/**
 * @param of - A revision.
 * @returns The key of its audit row.
 */
export const auditKey = (of: Revision): RowKey => rowKey(`${ROW_PREFIX.AUDIT}${digitsOf(of)}`);

const cover = (prefix: string, from: string, to: string): readonly string[] => {
  const open = AUDIT.REVISION_DIGITS - prefix.length;
  const first = prefix + "0".repeat(open);
  const last = prefix + "9".repeat(open);
  if (last < from || first > to) {
    return [];
  }
  if (first >= from && last <= to) {
    return [prefix];
  }
  return Array.from("0123456789").flatMap((digit) => cover(prefix + digit, from, to));
};

/**
 * The table reads by prefix: this names the few that hold a span of revisions and no more, so
 * that a long history costs nothing.
 *
 * @param from - The first revision wanted.
 * @param to - The last revision wanted.
 * @returns Key prefixes; none when `from` is above `to`.
 */
export const auditPrefixes = (from: Revision, to: Revision): readonly RowKey[] =>
  from > to
    ? []
    : cover("", digitsOf(from), digitsOf(to)).map((prefix) => rowKey(ROW_PREFIX.AUDIT + prefix));
