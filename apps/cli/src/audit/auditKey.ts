import { type Revision, type RowKey, rowKey } from "@heatherferry/common";
import { ROW_PREFIX } from "@heatherferry/core";
import { AUDIT } from "../constants.js";

const digitsOf = (value: number): string => String(value).padStart(AUDIT.REVISION_DIGITS, "0");

/** Returns the key of a revision's audit row. */
export const auditKey = (revision: Revision): RowKey =>
  rowKey(`${ROW_PREFIX.AUDIT}${digitsOf(revision)}`);

/** Returns the extensions of `prefix` that together hold exactly the revisions from..to. */
const coveringPrefixes = (prefix: string, from: string, to: string): readonly string[] => {
  const remainingDigits = AUDIT.REVISION_DIGITS - prefix.length;
  const first = prefix + "0".repeat(remainingDigits);
  const last = prefix + "9".repeat(remainingDigits);
  if (last < from || first > to) {
    return [];
  }
  if (first >= from && last <= to) {
    return [prefix];
  }
  return Array.from("0123456789").flatMap((digit) => coveringPrefixes(prefix + digit, from, to));
};

/**
 * Returns the key prefixes that hold exactly the audit rows of a range of revisions. The table
 * is read by prefix, so a few prefixes avoid reading the whole history.
 *
 * @param from - First revision, inclusive.
 * @param to - Last revision, inclusive.
 * @returns The prefixes; none if `from` is above `to`.
 */
export const auditPrefixes = (from: Revision, to: Revision): readonly RowKey[] =>
  from > to
    ? []
    : coveringPrefixes("", digitsOf(from), digitsOf(to)).map((prefix) =>
        rowKey(ROW_PREFIX.AUDIT + prefix),
      );
