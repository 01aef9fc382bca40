import { FORGET, STORE, SUBMISSION_STATE } from "./constants.js";
import type { RowName, WorkEvent } from "./events.js";
import { isSure } from "./certainty.js";
import type { OwnedWork, Submission } from "./state.js";
import { logLine, newCommitId, type Turn } from "./turn.js";
import type { SubmissionId } from "./types.js";

const isForgettable = (turn: Turn, submission: Submission): boolean => {
  const keptMs = turn.work.bounds.statusKeptMs + FORGET.MARGIN_MS;
  const over =
    submission.shownState !== SUBMISSION_STATE.QUEUED &&
    submission.shownState !== SUBMISSION_STATE.RUNNING;
  return over && turn.wallMs - (submission.endedWallMs ?? turn.wallMs) > keptMs;
};

/** Removes hand-ins that ended long ago; what is known of them goes once they are gone. */
export const tickForget = (turn: Turn, owned: OwnedWork): void => {
  if (turn.nowMs < owned.forgetAtMs || !isSure(turn, owned)) {
    return;
  }
  owned.forgetAtMs = turn.nowMs + FORGET.SWEEP_MS;
  owned.forgetting.clear();
  for (const submission of owned.submissions.values()) {
    if (owned.forgetting.size >= STORE.MAX_ROWS) {
      return;
    }
    if (isForgettable(turn, submission)) {
      const { id } = submission.handIn;
      const commitId = newCommitId(turn.work);
      owned.forgetting.set(commitId, id);
      turn.effects.push({
        type: "store/commit",
        commitId,
        conditions: [],
        writes: [],
        removes: [
          { type: "handIn", id },
          { type: "cancel", id },
        ],
      });
    }
  }
};

const forget = (turn: Turn, owned: OwnedWork, id: SubmissionId): void => {
  owned.submissions.delete(id);
  owned.forgotten.add(id);
  logLine(turn, "info", "submission.forgotten", { submission: id });
};

/**
 * What is known of a forgotten submission goes with a write of the owner: a node that has been
 * replaced must not remove it.
 *
 * @param most - Rows that the write still takes.
 * @returns The rows to remove, which are not asked for again.
 */
export const takeForgotten = (owned: OwnedWork, most: number): RowName[] => {
  const ids = [...owned.forgotten].slice(0, Math.max(0, most));
  ids.forEach((id) => owned.forgotten.delete(id));
  return ids.map((id) => ({ type: "progress", id }));
};

/**
 * A hand-in stays known while all of them are read anew: the read may still bring its row.
 *
 * @returns Whether the settled write removed a hand-in; one that failed is tried again later.
 */
export const forgetSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const { owned } = turn.work;
  const id = owned?.forgetting.get(event.commitId);
  if (owned === null || id === undefined) {
    return false;
  }
  owned.forgetting.delete(event.commitId);
  const settled = event.result === "committed" && isSure(turn, owned);
  if (settled && !turn.work.feeds.handIns.scanning) {
    forget(turn, owned, id);
  }
  return true;
};
