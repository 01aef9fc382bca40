import type { PromiseVerdict, TeamVerdict } from "./verdict.js";

const COLUMN_GAP = "  ";

/** Lays out rows in columns: the first to the left, numbers to the right. */
const layOut = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => {
          const width = widths[column] ?? 0;
          return column === 0 ? cell.padEnd(width) : cell.padStart(width);
        })
        .join(COLUMN_GAP),
    )
    .join("\n");
};

const percent = (fraction: number): string => `${(100 * fraction).toFixed(1)}%`;

const TEAM_HEAD = [
  "team",
  "sent",
  "answered",
  "not run",
  "unknown",
  "share got",
  "share due",
  "p50 ms",
  "p99 ms",
];

/** @returns A table with a line for each team. */
export const formatTeams = (teams: readonly TeamVerdict[]): string =>
  layOut([
    TEAM_HEAD,
    ...teams.map((team) => [
      team.team,
      String(team.sent),
      String(team.answered),
      String(team.notRun),
      String(team.unknown),
      percent(team.shareGot),
      percent(team.shareDue),
      String(team.p50Ms),
      String(team.p99Ms),
    ]),
  ]);

/** @returns Whether a promise was kept. */
export const isKept = ({ seen, allowed }: PromiseVerdict): boolean => seen <= allowed;

/** @returns A table with a line for each promise. */
export const formatPromises = (promises: readonly PromiseVerdict[]): string =>
  layOut([
    ["promise", "seen", "allowed", ""],
    ...promises.map((verdict) => [
      verdict.promise,
      String(verdict.seen),
      String(verdict.allowed),
      isKept(verdict) ? "kept" : "BROKEN",
    ]),
  ]);

/** @returns One line with the kinds of refusals. */
export const formatRefusals = (counts: readonly (readonly [string, number])[]): string =>
  `refusals: ${counts.map(([kind, count]) => `${kind} ${count}`).join(", ") || "none"}`;
