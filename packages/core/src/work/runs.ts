import { ITEM_PHASE, ORDER, RUN_PHASE, START_RESULT } from "./constants.js";
import type { WorkEvent } from "./events.js";
import { isSure } from "./ownership.js";
import { poolOf } from "./pools.js";
import type { Item, OwnedWork, Run, TeamUse, Worker } from "./state.js";
import { itemBegan, itemLost } from "./submissions.js";
import { logLine, wakeAfter, type Turn } from "./turn.js";
import type { ItemKey, Resources, StepSpec } from "./types.js";
import { targetOf, noteClock } from "./workers.js";

/** @returns What an item of a step takes of a worker's room. */
export const roomOf = (spec: StepSpec): Resources =>
  spec.filler ? { ...spec.needs, cpuMilli: 0 } : spec.needs;

const teamUse = (owned: OwnedWork, item: Item): TeamUse | null => {
  const { team } = item.submission.handIn;
  if (team === null) {
    return null;
  }
  let use = owned.teams.get(team);
  if (use === undefined) {
    use = { cpuMilli: 0, memoryMb: 0, gpus: 0 };
    owned.teams.set(team, use);
  }
  return use;
};

const charge = (owned: OwnedWork, worker: Worker, run: Run, sign: 1 | -1): void => {
  worker.usedCpuMilli += sign * run.room.cpuMilli;
  worker.usedMemoryMb += sign * run.room.memoryMb;
  worker.usedGpus += sign * run.room.gpus;
  const use = teamUse(owned, run.item);
  if (use !== null) {
    const { needs } = run.item.spec;
    use.cpuMilli += sign * needs.cpuMilli;
    use.memoryMb += sign * needs.memoryMb;
    use.gpus += sign * needs.gpus;
  }
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
  item.run = run;
  item.lastRun = Math.max(item.lastRun, number);
  item.phase = ITEM_PHASE.PLACED;
  item.inherited = false;
  item.submission.ready.delete(item);
  if (worker.runs.size === 0) {
    worker.busySinceMs = turn.nowMs;
  }
  worker.runs.set(item.key, run);
  charge(owned, worker, run, 1);
  return run;
};

/** Forgets a run whose end is sure; its room is free. */
export const dropRun = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  if (worker.runs.get(run.item.key) !== run) {
    return;
  }
  worker.runs.delete(run.item.key);
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
    dropRun(turn, owned, worker, run);
    itemLost(turn, owned, run.item);
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
  if (!isSure(turn, owned)) {
    run.stopSentAtMs = turn.nowMs;
    return;
  }
  run.stopSentAtMs = turn.nowMs;
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
    for (const run of worker.runs.values()) {
      const due =
        run.phase === RUN_PHASE.STOPPING &&
        run.stopConfirmedAtMs === null &&
        turn.nowMs - (run.stopSentAtMs ?? 0) >= ORDER.TIMEOUT_MS + ORDER.STOP_RETRY_MS;
      if (due) {
        sendStop(turn, owned, worker, run);
      }
    }
  }
};

const runOf = (
  owned: OwnedWork,
  event: { worker: Worker["report"]["id"]; item: ItemKey; run: number },
): { worker: Worker; run: Run } | null => {
  const worker = owned.workers.get(event.worker);
  const run = worker?.runs.get(event.item);
  return worker !== undefined && run?.number === event.run ? { worker, run } : null;
};

/** Takes a worker's answer to a start. */
export const startAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  const found = runOf(owned, event);
  if (found === null) {
    return;
  }
  const { worker, run } = found;
  noteClock(turn, worker, event.clockMs);
  if (event.result !== START_RESULT.STARTED) {
    logLine(turn, "warn", "run.notStarted", {
      item: event.item,
      run: event.run,
      worker: event.worker,
      result: event.result,
      reason: event.reason,
    });
  }
  switch (event.result) {
    case "started":
      run.confirmedAtMs ??= turn.nowMs;
      if (run.phase === RUN_PHASE.ORDERED) {
        run.phase = RUN_PHASE.RUNNING;
      }
      itemBegan(owned, run.item.submission);
      return;
    case "refused":
    case "unhealthy":
      startRefused(turn, owned, worker, run, event);
      return;
    case "wrongLife":
      dropRun(turn, owned, worker, run);
      itemLost(turn, owned, run.item);
      return;
    case "unanswered":
      // It may start there at any time until the worker confirms a stop or the lease ends.
      stopRun(turn, owned, run, "the start had no answer");
      return;
  }
};

const startRefused = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  event: Extract<WorkEvent, { type: "worker/startAnswered" }>,
): void => {
  dropRun(turn, owned, worker, run);
  if (event.reason === "fence") {
    turn.work.ownerView.nextPollAtMs = 0;
    owned.confirmedAtMs = -Infinity;
    owned.needsRenewal = true;
  } else {
    worker.restsUntilMs = Math.max(worker.restsUntilMs, turn.nowMs + ORDER.TIMEOUT_MS);
  }
  itemLost(turn, owned, run.item);
};

/** Takes a worker's answer to a stop. */
export const stopAnswered = (
  turn: Turn,
  owned: OwnedWork,
  event: Extract<WorkEvent, { type: "worker/stopAnswered" }>,
): void => {
  const worker = owned.workers.get(event.worker);
  if (worker === undefined) {
    return;
  }
  noteClock(turn, worker, event.clockMs);
  const run = worker.runs.get(event.item);
  if (run?.number !== event.run) {
    return;
  }
  if (event.wrongLife) {
    dropRun(turn, owned, worker, run);
    itemLost(turn, owned, run.item);
  } else if (event.settled) {
    run.stopConfirmedAtMs ??= turn.nowMs;
    worker.nextLookAtMs = turn.nowMs;
    wakeAfter(turn, 1);
  }
};

/**
 * Hands runs to the next life of a worker: an order under way may have reached that life, so
 * looks at it have to tell.
 */
export const carryRuns = (from: Worker, to: Worker): void => {
  for (const run of from.runs.values()) {
    if (!run.shown) {
      from.runs.delete(run.item.key);
      to.runs.set(run.item.key, run);
      to.usedCpuMilli += run.room.cpuMilli;
      to.usedMemoryMb += run.room.memoryMb;
      to.usedGpus += run.room.gpus;
    }
  }
};

/** Everything ordered on a worker has ended: its lease is over, or it is another life. */
export const loseRuns = (turn: Turn, owned: OwnedWork, worker: Worker, why: string): void => {
  for (const run of [...worker.runs.values()]) {
    const planned = run.phase === RUN_PHASE.PLANNED;
    if (planned && owned.workers.get(worker.report.id) === worker) {
      continue;
    }
    dropRun(turn, owned, worker, run);
    itemLost(turn, owned, run.item);
    logLine(turn, "warn", "run.lost", {
      item: run.item.key,
      run: run.number,
      worker: worker.report.id,
      why,
    });
  }
};
