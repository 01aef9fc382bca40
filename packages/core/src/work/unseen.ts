import { LEASE, RUN_PHASE } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { noteGivenUp } from "./givenUp.js";
import { leaseChanged } from "./leaseRows.js";
import { dropRun, stopRun } from "./runs.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import { itemLost } from "./submissions.js";
import { logLine, type Turn } from "./turn.js";

const forgetStrays = (owned: OwnedWork, worker: Worker, shown: ReadonlySet<string>): void => {
  for (const name of worker.strayStops.keys()) {
    if (!shown.has(name)) {
      worker.strayStops.delete(name);
      leaseChanged(owned, worker.report.id);
    }
  }
};

/**
 * Drops runs that looks sent after their confirmation do not show. What is being stopped takes
 * room but is not shown, so a run has to be missing for as long as a stop may take.
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
      if (turn.nowMs - run.missingSinceMs > turn.work.bounds.stopMs + LEASE.STOP_MARGIN_MS) {
        dropMissing(turn, owned, worker, run);
      }
    }
  }
};

const dropMissing = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  const stopped = run.stopConfirmedAtMs !== null;
  const why = stopped ? "stopped, and looks do not show it" : "looks do not show it";
  noteGivenUp(turn, owned, worker, run, why);
  dropRun(turn, owned, worker, run);
  itemLost(turn, owned, run.item);
  logLine(turn, "info", "run.notThere", {
    item: run.item.key,
    run: run.number,
    worker: worker.report.id,
    stopped,
  });
};
