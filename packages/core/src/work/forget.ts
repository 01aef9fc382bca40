import { FORGET, STORE, SUBMISSION_STATE } from "./constants.js";
import type { RowName } from "./events.js";
import { isSure } from "./ownership.js";
import type { OwnedWork } from "./state.js";
import { logLine, newCommitId, type Turn } from "./turn.js";

/** Removes the rows of submissions that ended long ago. */
export const tickForget = (turn: Turn, owned: OwnedWork): void => {
  if (turn.nowMs < owned.forgetAtMs || !isSure(turn, owned)) {
    return;
  }
  owned.forgetAtMs = turn.nowMs + FORGET.SWEEP_MS;
  const removes: RowName[] = [];
  const endedBeforeMs = turn.wallMs - turn.work.bounds.statusKeptMs - FORGET.MARGIN_MS;
  for (const submission of owned.submissions.values()) {
    const { id } = submission.handIn;
    const over =
      submission.shownState !== SUBMISSION_STATE.QUEUED &&
      submission.shownState !== SUBMISSION_STATE.RUNNING;
    if (over && (submission.endedWallMs ?? Infinity) < endedBeforeMs && removes.length + 3 <= STORE.MAX_ROWS) {
      owned.submissions.delete(id);
      removes.push({ type: "progress", id }, { type: "cancel", id }, { type: "handIn", id });
    }
  }
  if (removes.length > 0) {
    logLine(turn, "info", "submissions.forgotten", { count: removes.length / 3 });
    // A lost reply needs no repeat: the next owner finds and removes what is left.
    turn.effects.push({ type: "store/commit", commitId: newCommitId(turn.work), conditions: [], writes: [], removes });
  }
};
