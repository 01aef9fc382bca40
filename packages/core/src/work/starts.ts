import { ORDER, RUN_PHASE } from "./constants.js";
import { isSure } from "./certainty.js";
import { giveUpRun } from "./lostRuns.js";
import { holdsRuns } from "./room.js";
import { addRun } from "./runs.js";
import type { Item, OwnedWork, Run, Worker } from "./state.js";
import { logLine, loggedMs, type Turn } from "./turn.js";
import { extendLease } from "./leases.js";
import { targetOf } from "./lives.js";
import { lookGapMs } from "./loopLag.js";
import { workerChanged } from "./workerTimers.js";

/** Runs that one fence may order of an item; the next fence counts on from there. */
const RUNS_OF_A_FENCE = 1_000;

/** @returns A number above all that any run of the item had, under any owner. */
export const nextRunNumber = (owned: OwnedWork, item: Item): number =>
  Math.max(item.lastRun, (Number(owned.fence) - 1) * RUNS_OF_A_FENCE) + 1;

/**
 * Takes room for an item. The order goes out once the owner's row names the item, so that a
 * successor knows what may run on a worker that it cannot reach.
 */
export const planStart = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  item: Item,
  number: number,
): void => {
  const run = addRun(turn, owned, worker, item, number);
  owned.plannedStarts.push(run);
};

const unplan = (turn: Turn, owned: OwnedWork, run: Run): void => {
  const worker = owned.workers.get(run.worker);
  if (worker !== undefined && run.phase === RUN_PHASE.PLANNED) {
    giveUpRun(turn, owned, worker, run, "it is not ordered");
  }
};

/** Gives back the room of runs that are not ordered after all. */
export const dropStarts = (turn: Turn, owned: OwnedWork, runs: readonly Run[]): void => {
  runs.forEach((run) => {
    unplan(turn, owned, run);
  });
};

const takesOrders = (worker: Worker): boolean =>
  worker.listed && !worker.departed && !worker.report.draining && holdsRuns(worker);

/** @returns The lease for new work on a worker; null where it takes none. */
const leaseFor = (turn: Turn, worker: Worker): number | null =>
  takesOrders(worker) ? extendLease(turn, worker) : null;

const send = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  untilClockMs: number,
): void => {
  const { item } = run;
  run.startsSent += 1;
  run.startSentAtMs = turn.nowMs;
  turn.effects.push({
    type: "worker/start",
    item: item.key,
    run: run.number,
    payload: item.submission.handIn.work.payload,
    untilClockMs,
    checkpoint: run.checkpoint,
    ...targetOf(owned, worker),
  });
};

const order = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  untilClockMs: number,
): void => {
  const { item } = run;
  const { submission } = item;
  run.phase = RUN_PHASE.ORDERED;
  run.orderedAtMs = turn.nowMs;
  run.checkpoint = item.checkpoint;
  worker.nextLookAtMs = Math.max(worker.nextLookAtMs, turn.nowMs + lookGapMs(turn.work));
  workerChanged(owned, worker);
  send(turn, owned, worker, run, untilClockMs);
  logLine(turn, "info", "run.ordered", {
    item: item.key,
    run: run.number,
    worker: worker.report.id,
    pool: worker.report.pool,
    fence: Number(owned.fence),
    slackMs: loggedMs(
      (submission.occurrences.get(item.occurrence)?.dueAtMs ?? Infinity) - turn.nowMs,
    ),
    usedCpuMilli: worker.usedCpuMilli,
    usedMemoryMb: worker.usedMemoryMb,
    cpuMilli: worker.report.capacity.cpuMilli,
    memoryMb: worker.report.capacity.memoryMb,
    listed: worker.listedRuns,
    strays: worker.strays.size,
    lookAgeMs: loggedMs(turn.nowMs - (worker.lookedAtMs ?? -Infinity)),
  });
};

/** Orders runs that the owner's row names now. */
export const sendStarts = (turn: Turn, owned: OwnedWork, runs: readonly Run[]): void => {
  for (const run of runs) {
    const worker = owned.workers.get(run.worker);
    const planned = worker?.runs.get(run.item.key) === run && run.phase === RUN_PHASE.PLANNED;
    if (worker !== undefined && planned) {
      const untilClockMs = leaseFor(turn, worker);
      if (untilClockMs === null) {
        unplan(turn, owned, run);
      } else {
        order(turn, owned, worker, run, untilClockMs);
      }
    }
  }
};

/**
 * Orders a run once more whose order had no answer. A worker takes the same run once, however
 * often it is told.
 *
 * @returns Whether the order was sent.
 */
export const repeatStart = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): boolean => {
  const mayRepeat =
    run.phase === RUN_PHASE.ORDERED && run.startsSent < ORDER.MOST_STARTS && isSure(turn, owned);
  const untilClockMs = mayRepeat ? leaseFor(turn, worker) : null;
  if (untilClockMs === null) {
    return false;
  }
  send(turn, owned, worker, run, untilClockMs);
  logLine(turn, "info", "run.orderedAgain", {
    item: run.item.key,
    run: run.number,
    worker: worker.report.id,
    startsSent: run.startsSent,
  });
  return true;
};
