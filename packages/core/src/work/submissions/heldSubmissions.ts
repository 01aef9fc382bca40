import type { TeamId } from "@heatherferry/common";
import { HELD } from "../constants.js";
import type { OwnedWork, Submission, WorkloadState } from "../state.js";
import { teamById } from "../store/catalog.js";
import type { HeldFigures, SubmissionRow, WorkSpec } from "../types.js";

/** Memory that the submissions of an owner take. */
export interface HeldSubmissions {
  bytes: number;
  /** The part of each team; null for submissions without a team. */
  readonly byTeam: Map<TeamId | null, number>;
  /** What the row of the previous owner says; it holds until all tables are loaded. */
  readonly inherited: HeldFigures | null;
}

/**
 * Returns the account of an owner that holds no submission yet.
 *
 * @param inherited - What the row of the previous owner says; null if nothing.
 */
export const newHeldSubmissions = (inherited: HeldFigures | null): HeldSubmissions => ({
  bytes: 0,
  byTeam: new Map(),
  inherited,
});

/** Returns about how much memory a submission takes that has not ended, in bytes. */
export const openBytesOf = ({ payload, steps }: WorkSpec): number => {
  const items = steps.reduce((sum, { count }) => sum + count, 0);
  return (
    HELD.OPEN_BYTES +
    payload.length +
    steps.length * HELD.STEP_BYTES +
    Math.min(items, HELD.MAX_COUNTED_ITEMS) * HELD.ITEM_BYTES
  );
};

/** Changes the memory that a submission is counted with. */
const setBytes = (owned: OwnedWork, submission: Submission, bytes: number): void => {
  const { held } = owned;
  const { team } = submission.row;
  const added = bytes - submission.heldBytes;
  const ofTeam = (held.byTeam.get(team) ?? 0) + added;
  submission.heldBytes = bytes;
  held.bytes += added;
  if (ofTeam === 0) {
    held.byTeam.delete(team);
  } else {
    held.byTeam.set(team, ofTeam);
  }
};

/** Counts a submission that the owner holds from now on. */
export const holdOpen = (owned: OwnedWork, submission: Submission): void => {
  setBytes(owned, submission, openBytesOf(submission.row.work));
};

/** Returns a row without what only the start of work needs. */
const withoutPayload = (row: SubmissionRow): SubmissionRow => ({
  ...row,
  work: { ...row.work, payload: "" },
});

/** Frees what only an open submission needs, and counts the rest. */
export const holdEnded = (owned: OwnedWork, submission: Submission): void => {
  submission.row = withoutPayload(submission.row);
  setBytes(owned, submission, HELD.ENDED_BYTES);
};

/** Counts a submission no more. */
export const releaseHeld = (owned: OwnedWork, submission: Submission): void => {
  setBytes(owned, submission, 0);
};

/** Returns the part of the memory that a team may take once memory is short. */
const shareOf = (work: WorkloadState, id: TeamId | null): number => {
  const team = teamById(work, id);
  const weights = work.catalog?.teams.reduce((sum, { weight }) => sum + weight, 0) ?? 0;
  return team === null || weights === 0 ? HELD.SHARE_WITHOUT_TEAM : team.weight / weights;
};

/**
 * Returns whose submissions the owner has no memory for, as its row tells all nodes; null while
 * there is enough. Beyond a part of the memory no team may take more than its share by weight.
 */
export const heldFigures = (work: WorkloadState, owned: OwnedWork): HeldFigures | null => {
  const { held } = owned;
  const { heldBudgetBytes: budgetBytes } = work;
  if (!owned.active) {
    return held.inherited;
  }
  if (held.bytes < budgetBytes * HELD.SHARES_APPLY_FROM) {
    return null;
  }
  const overShare = [...held.byTeam]
    .filter(([team, bytes]) => bytes > shareOf(work, team) * budgetBytes)
    .sort(([, one], [, other]) => other - one)
    .slice(0, HELD.MAX_TEAMS)
    .map(([team]) => team);
  return { isFull: held.bytes >= budgetBytes, teams: overShare };
};
