import { PURGE, STORE, SUBMISSION_STATE } from "../constants.js";
import type { CommitBudget } from "../ownership/commitBudget.js";
import type { Commit, RowName, WorkEvent } from "../events.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { releaseHeld } from "./heldSubmissions.js";
import type { OwnedWork, Submission } from "../state.js";
import { logLine, newCommitId, type Turn } from "../turn.js";
import { NO_ROW, type SubmissionId } from "../types.js";

/** Returns how long rows are kept that only the answers to callers need. */
const retentionMs = ({ work }: Turn): number => work.bounds.statusRetentionMs + PURGE.MARGIN_MS;

const isPurgeable = (turn: Turn, submission: Submission): boolean => {
  const ended =
    submission.reportedState !== SUBMISSION_STATE.QUEUED &&
    submission.reportedState !== SUBMISSION_STATE.RUNNING;
  return ended && turn.wallMs - (submission.endedWallMs ?? turn.wallMs) > retentionMs(turn);
};

/** Deletes rows of a submission in a commit of their own. */
const sendPurge = (
  turn: Turn,
  owned: OwnedWork,
  id: SubmissionId,
  rows: Pick<Commit, "conditions" | "removes">,
): void => {
  const commitId = newCommitId(turn.work);
  owned.purgeCommits.set(commitId, id);
  turn.effects.push({ type: "store/commit", commitId, writes: [], ...rows });
};

/**
 * Deletes cancels of submissions that were never stored, once no hand-in of these can be on its way
 * to the store any more.
 */
const purgeUnmatchedCancels = (turn: Turn, owned: OwnedWork): void => {
  for (const [id, sinceMs] of owned.unmatchedCancels) {
    if (owned.purgeCommits.size >= STORE.MAX_ROWS) {
      return;
    }
    if (turn.nowMs - sinceMs > retentionMs(turn)) {
      sendPurge(turn, owned, id, {
        conditions: [{ row: { type: "handIn", id }, version: NO_ROW }],
        removes: [{ type: "cancel", id }],
      });
    }
  }
};

/**
 * Deletes the rows of submissions whose status has been kept long enough since they ended, and
 * cancels of submissions that were never stored.
 */
export const tickPurge = (turn: Turn, owned: OwnedWork): void => {
  if (turn.nowMs < owned.nextPurgeAtMs || !isOwnershipConfirmed(turn, owned)) {
    return;
  }
  owned.nextPurgeAtMs = turn.nowMs + PURGE.SWEEP_MS;
  owned.purgeCommits.clear();
  for (const submission of owned.submissions.values()) {
    if (owned.purgeCommits.size >= STORE.MAX_ROWS) {
      return;
    }
    if (isPurgeable(turn, submission)) {
      const { id } = submission.row;
      sendPurge(turn, owned, id, {
        conditions: [],
        removes: [
          { type: "handIn", id },
          { type: "cancel", id },
        ],
      });
    }
  }
  purgeUnmatchedCancels(turn, owned);
};

const purge = (turn: Turn, owned: OwnedWork, id: SubmissionId): void => {
  const submission = owned.submissions.get(id);
  if (submission !== undefined) {
    releaseHeld(owned, submission);
  }
  owned.submissions.delete(id);
  owned.purgedSubmissions.add(id);
  logLine(turn, "info", "submission.purged", { submission: id });
};

/**
 * Takes the progress rows of purged submissions for the next owner commit. Only a commit that is
 * conditional on the owner row may delete them, so that a node which lost ownership cannot.
 *
 * @param budget - What still fits into the commit.
 * @returns The rows to delete; they are returned only once.
 */
export const takePurgedRows = (
  owned: OwnedWork,
  budget: CommitBudget,
): { rows: RowName[]; ids: SubmissionId[] } => {
  const ids: SubmissionId[] = [];
  for (const id of owned.purgedSubmissions) {
    if (!budget.takeRemove()) {
      break;
    }
    ids.push(id);
  }
  ids.forEach((id) => owned.purgedSubmissions.delete(id));
  return { rows: ids.map((id) => ({ type: "progress", id })), ids };
};

/**
 * Handles the result of a commit that deletes a submission's rows, or a cancel without one; the next
 * sweep retries a failed one. The submission also stays in the state while all submissions are being read anew,
 * since that read may still return its row and would start it again.
 *
 * @returns Whether the settled commit was one of these.
 */
export const purgeSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const { owned } = turn.work;
  const id = owned?.purgeCommits.get(event.commitId);
  if (owned === null || id === undefined) {
    return false;
  }
  owned.purgeCommits.delete(event.commitId);
  const deleted = event.result === "committed" && isOwnershipConfirmed(turn, owned);
  if (!deleted || turn.work.feeds.handIns.scanning) {
    return true;
  }
  if (!owned.unmatchedCancels.delete(id)) {
    purge(turn, owned, id);
  }
  return true;
};
