import type { AuditRow } from "@heatherferry/core";

/** Formats an audit row: the author, the time, the previous revision and the changed lines. */
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
