import type { GuaranteeResult, TeamResult } from "./evaluation.js";

const COLUMN_GAP = "  ";

/** Formats rows as a table: the first column left-aligned, all others right-aligned. */
const formatTable = (rows: readonly (readonly string[])[]): string => {
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

const TEAM_HEADER = [
  "team",
  "sent",
  "answered",
  "not run",
  "unknown",
  "actual share",
  "expected share",
  "p50 ms",
  "p99 ms",
];

/** Formats the results of the teams as a table with one line for each team. */
export const formatTeams = (teams: readonly TeamResult[]): string =>
  formatTable([
    TEAM_HEADER,
    ...teams.map((team) => [
      team.team,
      String(team.sent),
      String(team.answered),
      String(team.notRun),
      String(team.unknown),
      percent(team.actualShare),
      percent(team.expectedShare),
      String(team.p50Ms),
      String(team.p99Ms),
    ]),
  ]);

/** Whether a guarantee was met. */
export const isMet = ({ observed, allowed }: GuaranteeResult): boolean => observed <= allowed;

/** Formats the results of the guarantees as a table with one line for each guarantee. */
export const formatGuarantees = (guarantees: readonly GuaranteeResult[]): string =>
  formatTable([
    ["guarantee", "observed", "allowed", ""],
    ...guarantees.map((result) => [
      result.guarantee,
      String(result.observed),
      String(result.allowed),
      isMet(result) ? "met" : "VIOLATED",
    ]),
  ]);

/** Formats the counts of each kind of refusal as one line. */
export const formatRefusals = (counts: readonly (readonly [string, number])[]): string =>
  `refusals: ${counts.map(([kind, count]) => `${kind} ${count}`).join(", ") || "none"}`;
