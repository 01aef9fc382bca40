import { PACING, RUN_PHASE } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { isSure } from "./certainty.js";
import type { OwnedWork, Run, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import { targetOf, workerAsked } from "./lives.js";

/** @returns The worst tail on the worker as a share of its target; null where none serves users. */
const worstTailShare = (worker: Worker): number | null => {
  let worst: number | null = null;
  for (const run of worker.runs.values()) {
    const target = run.item.spec.tailTargetMs;
    if (target !== null && run.load !== null) {
      worst = Math.max(worst ?? 0, run.load / target);
    }
  }
  return worst;
};

const pace = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  percent: number,
  share: number,
): void => {
  run.pacePercent = percent;
  turn.effects.push({
    type: "worker/pace",
    item: run.item.key,
    run: run.number,
    percent,
    ...targetOf(owned, worker),
  });
  logLine(turn, "info", "run.paced", {
    item: run.item.key,
    run: run.number,
    worker: worker.report.id,
    percent,
    tailShare: Math.round(share * 100) / 100,
  });
};

const paceWorker = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const share = worstTailShare(worker) ?? 0;
  if (share >= PACING.CALM_SHARE) {
    worker.tailsCalmSinceMs = turn.nowMs;
  }
  for (const run of worker.runs.values()) {
    if (run.item.spec.filler && run.phase === RUN_PHASE.RUNNING) {
      if (share >= PACING.ALERT_SHARE && run.pacePercent > 0) {
        pace(turn, owned, worker, run, 0, share);
      } else if (run.pacePercent < 100 && turn.nowMs - worker.tailsCalmSinceMs >= PACING.CALM_MS) {
        worker.tailsCalmSinceMs = turn.nowMs;
        pace(turn, owned, worker, run, Math.min(100, run.pacePercent + PACING.STEP_PERCENT), share);
      }
    }
  }
};

/** A worker did not confirm a pace: what it was told is not known, so it is told again. */
export const paceFailed = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/paceFailed" }>,
): void => {
  const run = workerAsked(turn, owned, event, "pace")?.runs.get(event.item);
  if (run?.number === event.run) {
    run.pacePercent = PACING.UNKNOWN_PERCENT;
  }
};

/** Slows fillers where work with users answers too late, and lets them up again. */
export const paceFillers = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  if (isSure(turn, owned)) {
    paceWorker(turn, owned, worker);
  }
};
