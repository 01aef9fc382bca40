import { LEASE, RUN_PHASE } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { giveUpRun } from "./lostRuns.js";
import type { AnsweredLook } from "./ends.js";
import { noteGivenUp } from "./givenUp.js";
import { leaseChanged } from "./leaseRows.js";
import { stopRun } from "./runs.js";
import type { OwnedWork, Worker } from "./state.js";
import { strayEnded } from "./strays.js";
import type { Turn } from "./turn.js";

/** What looks have to show, and since when they do not. */
interface Shown {
  /** When the first look was answered that does not show it although it should. */
  missingSinceMs: number | null;
}

/**
 * What is being stopped takes room but is not shown. A stop that was under way when a look was
 * answered is over once a look is sent that is further from that answer than a stop may take.
 *
 * @param sentAtMs - When the look was sent that does not show it now.
 * @returns Whether it is gone.
 */
const isGone = (turn: Turn, seen: Shown, sentAtMs: number): boolean => {
  seen.missingSinceMs ??= turn.nowMs;
  return sentAtMs - seen.missingSinceMs > turn.work.bounds.stopMs + LEASE.STOP_MARGIN_MS;
};

/** Lets go of stray runs that are gone. */
const dropStrays = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  { order, sentAtMs }: AnsweredLook,
): void => {
  for (const stray of worker.strays.values()) {
    if (stray.shownByLook === order) {
      stray.missingSinceMs = null;
    } else if (isGone(turn, stray, sentAtMs)) {
      strayEnded(owned, worker, stray);
    }
  }
};

/** Gives up runs that looks sent after their confirmation do not show. */
export const dropUnseen = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  dropStrays(turn, owned, worker, event);
  for (const run of [...worker.runs.values()]) {
    if (run.unansweredAtMs !== null && run.phase === RUN_PHASE.ORDERED) {
      if (event.sentAtMs >= run.unansweredAtMs) {
        // It may start there at any time until the worker confirms a stop or the lease ends.
        noteGivenUp(turn, owned, worker, run, "the start had no answer");
        stopRun(turn, owned, run, "the start had no answer");
      }
      continue;
    }
    const sureSince = run.stopConfirmedAtMs ?? run.confirmedAtMs;
    if (sureSince === null || sureSince >= event.sentAtMs || run.shownByLook === event.order) {
      run.missingSinceMs = null;
    } else {
      leaseChanged(owned, worker.report.id);
      if (isGone(turn, run, event.sentAtMs)) {
        const stopped = run.stopConfirmedAtMs !== null;
        const why = stopped ? "stopped, and looks do not show it" : "looks do not show it";
        giveUpRun(turn, owned, worker, run, why);
      }
    }
  }
};
