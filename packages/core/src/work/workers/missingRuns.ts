import { LEASE, RUN_PHASE } from "../constants.js";
import type { WorkEvent } from "../events.js";
import { abandonRun } from "./abandonedRuns.js";
import type { AnsweredPoll } from "./runEnds.js";
import { recordAbandonedRun } from "./abandonedRunLog.js";
import { markLeaseChanged } from "../store/leaseRows.js";
import { stopRun } from "./runs.js";
import type { OwnedWork, Worker } from "../state.js";
import { removeOrphan } from "./orphanedRuns.js";
import type { Turn } from "../turn.js";

/** A run that polls should list. */
interface ExpectedRun {
  /** When the first poll that should list the run but doesn't was answered. */
  missingSinceMs: number | null;
}

/**
 * Whether a run that a poll doesn't list has ended. Workers don't list a run that is being
 * stopped although it still uses resources, so the run counts as ended only if this poll was sent
 * later than the longest time a stop takes after the first answer that didn't list the run.
 *
 * @param sentAtMs - When the poll was sent.
 */
const hasEnded = (turn: Turn, expected: ExpectedRun, sentAtMs: number): boolean => {
  expected.missingSinceMs ??= turn.nowMs;
  return sentAtMs - expected.missingSinceMs > turn.work.bounds.stopMs + LEASE.STOP_MARGIN_MS;
};

/** Removes orphaned runs that polls no longer list. */
const removeMissingOrphans = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  { order, sentAtMs }: AnsweredPoll,
): void => {
  for (const orphan of worker.orphanedRuns.values()) {
    if (orphan.listedByPoll === order) {
      orphan.missingSinceMs = null;
    } else if (hasEnded(turn, orphan, sentAtMs)) {
      removeOrphan(owned, worker, orphan);
    }
  }
};

/**
 * Abandons runs that a poll sent after their confirmation doesn't list, and stops runs whose start
 * order is still unanswered.
 */
export const abandonMissingRuns = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  removeMissingOrphans(turn, owned, worker, event);
  for (const run of [...worker.runs.values()]) {
    if (run.unansweredAtMs !== null && run.phase === RUN_PHASE.ORDERED) {
      if (event.sentAtMs >= run.unansweredAtMs) {
        // It may start there until the worker confirms a stop or its lease expires.
        recordAbandonedRun(turn, owned, worker, run, "the start order was not answered");
        stopRun(turn, owned, run, "the start order was not answered");
      }
      continue;
    }
    const settledAtMs = run.stopConfirmedAtMs ?? run.confirmedAtMs;
    if (settledAtMs === null || settledAtMs >= event.sentAtMs || run.listedByPoll === event.order) {
      run.missingSinceMs = null;
    } else {
      markLeaseChanged(owned, worker.report.id);
      if (hasEnded(turn, run, event.sentAtMs)) {
        const stopped = run.stopConfirmedAtMs !== null;
        const reason = stopped ? "stopped, and polls don't list it" : "polls don't list it";
        abandonRun(turn, owned, worker, run, reason);
      }
    }
  }
};
