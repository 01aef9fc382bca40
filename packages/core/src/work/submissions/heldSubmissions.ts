import type { TeamId } from "@heatherferry/common";
import { HELD } from "../constants.js";
import type { OwnedWork, Submission, WorkloadState } from "../state.js";
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

/** Returns how much of the memory a team may take once it is short: its share by weight. */
const shareBytes = (
  { catalog, catalogIndex, heldBudgetBytes }: WorkloadState,
  id: TeamId | null,
): number => {
  const team = id === null ? undefined : catalogIndex.teams.get(id);
  const weights = catalog?.teams.reduce((sum, { weight }) => sum + weight, 0) ?? 0;
  const share =
    team === undefined || weights === 0 ? HELD.SHARE_WITHOUT_TEAM : team.weight / weights;
  return share * heldBudgetBytes;
};

/** Returns how much of the memory each team may take in any case. */
const equalPartBytes = ({ catalog, heldBudgetBytes }: WorkloadState): number =>
  (heldBudgetBytes * (1 - HELD.EQUAL_PARTS_FROM)) / ((catalog?.teams.length ?? 0) + 1);

/**
 * Returns whose submissions the owner has no memory for, as its row tells all nodes; null while
 * there is enough. From a part of the memory on, no team may take more than its share by weight; the
 * rest is left to teams that have little, so that one team cannot keep the others out.
 */
export const heldFigures = (work: WorkloadState, owned: OwnedWork): HeldFigures | null => {
  const { held } = owned;
  if (!owned.active) {
    return held.inherited;
  }
  const usedShare = held.bytes / work.heldBudgetBytes;
  if (usedShare < HELD.SHARES_APPLY_FROM) {
    return null;
  }
  const isLeftToOthers = usedShare >= HELD.EQUAL_PARTS_FROM;
  const equalBytes = equalPartBytes(work);
  const teams = [...held.byTeam]
    .filter(([team, bytes]) => bytes >= (isLeftToOthers ? equalBytes : shareBytes(work, team)))
    .sort(([, one], [, other]) => other - one)
    .slice(0, HELD.MAX_TEAMS)
    .map(([team]) => team);
  return { teams };
};
