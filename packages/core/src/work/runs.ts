import { ITEM_PHASE, ORDER, RUN_PHASE } from "./constants.js";
import { lookedAt } from "./effort.js";
import { leaseChanged } from "./leaseRows.js";
import { isSure } from "./certainty.js";
import { poolOf } from "./pools.js";
import { chargeRoom, roomOf, withdrawRoom } from "./room.js";
import type { Item, OwnedWork, Run, Worker } from "./state.js";
import { chargeTeam } from "./teamUse.js";
import { logLine, type Turn } from "./turn.js";
import { targetOf } from "./lives.js";

/** Takes a run's room of a worker, or gives it back. */
export const chargeRun = (worker: Worker, run: Run, sign: 1 | -1): void => {
  chargeRoom(worker, run.room, sign);
  worker.lastingRuns += run.item.spec.lasting ? sign : 0;
};

const charge = (owned: OwnedWork, worker: Worker, run: Run, sign: 1 | -1): void => {
  const { submission, spec } = run.item;
  chargeRun(worker, run, sign);
  chargeTeam(owned.teams, submission.handIn.team, spec.needs, sign);
};

/** Takes up a run: one that is about to be ordered, or one found on a worker. */
export const addRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  item: Item,
  number: number,
): Run => {
  const run: Run = {
    item,
    number,
    worker: worker.report.id,
    room: roomOf(item.spec),
    phase: RUN_PHASE.PLANNED,
    orderedAtMs: turn.nowMs,
    startsSent: 0,
    startsAnswered: 0,
    startSentAtMs: null,
    unansweredAtMs: null,
    checkpoint: null,
    confirmedAtMs: null,
    shown: false,
    percent: 0,
    percentSinceMs: turn.nowMs,
    load: null,
    pacePercent: 100,
    stopSentAtMs: null,
    stopConfirmedAtMs: null,
    missingSinceMs: null,
  };
  withdrawRoom(owned, item);
  item.run = run;
  item.lastRun = Math.max(item.lastRun, number);
  item.phase = ITEM_PHASE.PLACED;
  item.inherited = false;
  item.submission.ready.delete(item);
  if (worker.runs.size === 0) {
    worker.busySinceMs = turn.nowMs;
  }
  worker.runs.set(item.key, run);
  leaseChanged(owned, worker.report.id);
  charge(owned, worker, run, 1);
  return run;
};

/** Forgets a run whose end is sure; its room is free. */
export const dropRun = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  if (worker.runs.get(run.item.key) !== run) {
    return;
  }
  worker.runs.delete(run.item.key);
  leaseChanged(owned, worker.report.id);
  charge(owned, worker, run, -1);
  if (run.item.run === run) {
    run.item.run = null;
  }
  if (worker.runs.size === 0) {
    worker.idleSinceMs = turn.nowMs;
  }
  poolOf(owned, worker.report.pool).dirty = true;
};

/** Orders a worker to stop a run; its room stays taken until the end is known. */
export const stopRun = (turn: Turn, owned: OwnedWork, run: Run, why: string): void => {
  const worker = owned.workers.get(run.worker);
  if (worker === undefined || run.phase === RUN_PHASE.STOPPING) {
    return;
  }
  if (run.phase === RUN_PHASE.PLANNED) {
    // Only the end of a submission stops what is not ordered yet, so its item waits for nothing.
    dropRun(turn, owned, worker, run);
    return;
  }
  run.phase = RUN_PHASE.STOPPING;
  sendStop(turn, owned, worker, run);
  logLine(turn, "info", "run.stopping", {
    item: run.item.key,
    run: run.number,
    worker: run.worker,
    why,
  });
};

const sendStop = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  run.stopSentAtMs = turn.nowMs;
  leaseChanged(owned, worker.report.id);
  if (!isSure(turn, owned)) {
    return;
  }
  turn.effects.push({
    type: "worker/stop",
    item: run.item.key,
    run: run.number,
    ...targetOf(owned, worker),
  });
};

/** Sends stops again that had no answer. */
export const repeatStops = (turn: Turn, owned: OwnedWork): void => {
  for (const worker of owned.workers.values()) {
    lookedAt(turn, 1 + worker.runs.size);
    for (const run of worker.runs.values()) {
      const due =
        run.phase === RUN_PHASE.STOPPING &&
        run.stopConfirmedAtMs === null &&
        turn.nowMs - (run.stopSentAtMs ?? 0) >= ORDER.STOP_REPEAT_MS;
      if (due) {
        sendStop(turn, owned, worker, run);
      }
    }
  }
};

/** @returns Whether an order to start a run may yet be carried out, as far as answers tell. */
export const hasLooseStart = (run: Run): boolean => run.startsSent > run.startsAnswered;
