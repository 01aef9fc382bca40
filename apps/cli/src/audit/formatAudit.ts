import type { AuditRow } from "@heatherferry/core";

/**
 * @param row - One accepted change.
 * @returns Who made it, when, from which revision, and its lines.
 */
export const formatAuditRow = (row: AuditRow): string => {
  const at = new Date(row.appliedAtMs).toISOString();
  const head = `revision ${row.revision} (from ${row.fromRevision}) by ${row.appliedBy} at ${at}`;
  return [
    head,
    ...row.removed.map((line) => `- ${line}`),
    ...row.added.map((line) => `+ ${line}`),
    "",
  ].join("\n");
};
