import { PACING, RUN_PHASE } from "../constants.js";
import type { WorkEvent } from "../events.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import type { OwnedWork, Run, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import { targetOf, answeringWorker } from "./incarnations.js";

/**
 * Returns the worst tail latency on a worker relative to its target; null if no run has a target.
 */
const worstLatencyShare = (worker: Worker): number | null => {
  let worstShare: number | null = null;
  for (const run of worker.runs.values()) {
    const targetMs = run.item.spec.tailTargetMs;
    if (targetMs !== null && run.load !== null) {
      worstShare = Math.max(worstShare ?? 0, run.load / targetMs);
    }
  }
  return worstShare;
};

const setPace = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  percent: number,
  latencyShare: number,
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
    latencyShare: Math.round(latencyShare * 100) / 100,
  });
};

const paceWorker = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const latencyShare = worstLatencyShare(worker) ?? 0;
  if (latencyShare >= PACING.SPEED_UP_SHARE) {
    worker.latencyCalmSinceMs = turn.nowMs;
  }
  for (const run of worker.runs.values()) {
    if (run.item.spec.filler && run.phase === RUN_PHASE.RUNNING) {
      if (latencyShare >= PACING.SLOW_DOWN_SHARE && run.pacePercent > 0) {
        setPace(turn, owned, worker, run, 0, latencyShare);
      } else if (
        run.pacePercent < 100 &&
        turn.nowMs - worker.latencyCalmSinceMs >= PACING.SPEED_UP_AFTER_MS
      ) {
        worker.latencyCalmSinceMs = turn.nowMs;
        setPace(
          turn,
          owned,
          worker,
          run,
          Math.min(100, run.pacePercent + PACING.STEP_PERCENT),
          latencyShare,
        );
      }
    }
  }
};

/**
 * Marks the pace of a run as unknown after an unconfirmed order, so that the order is sent again.
 */
export const paceFailed = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/paceFailed" }>,
): void => {
  const run = answeringWorker(turn, owned, event, "pace")?.runs.get(event.item);
  if (run?.number === event.run) {
    run.pacePercent = PACING.UNCONFIRMED_PERCENT;
  }
};

/**
 * Stops filler runs on a worker while the tail latency of serving work nears its target, and raises
 * their pace step by step once it is low again.
 */
export const paceFillers = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  if (isOwnershipConfirmed(turn, owned)) {
    paceWorker(turn, owned, worker);
  }
};
