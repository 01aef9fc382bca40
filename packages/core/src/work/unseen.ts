import { LEASE, RUN_PHASE } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { giveUpRun } from "./giveUps.js";
import { noteGivenUp } from "./givenUp.js";
import { leaseChanged } from "./leaseRows.js";
import { stopRun } from "./runs.js";
import type { OwnedWork, Worker } from "./state.js";
import type { Turn } from "./turn.js";

const forgetStrays = (owned: OwnedWork, worker: Worker, shown: ReadonlySet<string>): void => {
  for (const name of worker.strayStops.keys()) {
    if (!shown.has(name)) {
      worker.strayStops.delete(name);
      leaseChanged(owned, worker.report.id);
    }
  }
};

/**
 * Gives up runs that looks sent after their confirmation do not show. What is being stopped takes
 * room but is not shown, so two looks have to miss a run that were sent further apart than a stop
 * may take, however late their answers are read.
 */
export const dropUnseen = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  event: Extract<WorkEvent, { type: "worker/looked" }>,
): void => {
  const shown = new Set(event.running.map(({ item, run }) => `${item} ${run}`));
  forgetStrays(owned, worker, shown);
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
    if (
      sureSince === null ||
      sureSince >= event.sentAtMs ||
      shown.has(`${run.item.key} ${run.number}`)
    ) {
      run.missingSinceMs = null;
    } else {
      run.missingSinceMs ??= event.sentAtMs;
      leaseChanged(owned, worker.report.id);
      if (event.sentAtMs - run.missingSinceMs > turn.work.bounds.stopMs + LEASE.STOP_MARGIN_MS) {
        const stopped = run.stopConfirmedAtMs !== null;
        const why = stopped ? "stopped, and looks do not show it" : "looks do not show it";
        giveUpRun(turn, owned, worker, run, why);
      }
    }
  }
};
