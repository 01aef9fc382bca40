import { ORDER, RUN_PHASE } from "../constants.js";
import { isClosedByZone } from "../evacuation/index.js";
import {
  isEvacuationViewFresh,
  isOwnershipConfirmed,
  mayStartRuns,
} from "../ownership/ownershipConfirmation.js";
import { callersExpectation } from "../estimates/index.js";
import { abandonRun } from "../workers/abandonedRuns.js";
import { countSteps } from "../handlingCost.js";
import { hasCapacityForRuns } from "../workers/workerResources.js";
import { addRun } from "../workers/runs.js";
import type { Item, OwnedWork, Run, Worker } from "../state.js";
import { logLine, roundedMs, type Turn } from "../turn.js";
import { extendLease, isClockCurrent } from "../workers/leases.js";
import { targetOf } from "../workers/incarnations.js";
import { pollGapMs } from "../loopLag.js";
import { markWorkerChanged } from "../workers/workerTimers.js";

/** Most runs of an item under one fencing token; run numbers of the next token start above them. */
const MAX_RUNS_PER_FENCE = 1_000;

/**
 * Returns a run number above that of every earlier run of the item, under this or any other owner.
 */
export const nextRunNumber = (owned: OwnedWork, item: Item): number =>
  Math.max(item.lastRun, (Number(owned.fence) - 1) * MAX_RUNS_PER_FENCE) + 1;

/**
 * Books an item on a worker. The start order is sent once the worker's lease row records the item,
 * so that the next owner knows what may run on a worker that it can't reach.
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

const cancelPlannedStart = (turn: Turn, owned: OwnedWork, run: Run): void => {
  const worker = owned.workers.get(run.worker);
  if (worker !== undefined && run.phase === RUN_PHASE.PLANNED) {
    abandonRun(turn, owned, worker, run, "the start was cancelled before it was sent");
  }
};

/** Cancels planned runs whose start orders weren't sent, and frees their resources. */
export const cancelPlannedStarts = (turn: Turn, owned: OwnedWork, runs: readonly Run[]): void => {
  runs.forEach((run) => {
    cancelPlannedStart(turn, owned, run);
  });
};

const acceptsWork = ({ work, nowMs }: Turn, worker: Worker): boolean =>
  worker.registered &&
  !isClosedByZone(work.evacuations, worker.report, nowMs) &&
  !worker.hostReclaimed &&
  !worker.report.draining &&
  hasCapacityForRuns(worker);

/**
 * Extends a worker's lease for new work.
 *
 * @returns The end of the lease on the worker's clock in ms; null if the worker accepts no work.
 */
const leaseForStart = (turn: Turn, worker: Worker): number | null =>
  acceptsWork(turn, worker) ? extendLease(turn, worker) : null;

const sendStart = (
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
    payload: item.submission.row.work.payload,
    untilClockMs,
    checkpoint: run.checkpoint,
    ...targetOf(owned, worker),
  });
};

/** Returns the run time that a start was decided by, and what it rests on. */
const expectationFields = (
  { nowMs }: Turn,
  { submission: { runTimes }, step, spec }: Item,
): Readonly<Record<string, string | number>> => {
  const { expectedMs, samples, ageMs, kind } =
    runTimes.expectations[step] ?? callersExpectation(spec.estimateMs);
  const fields = { expectedMs: Math.round(expectedMs), estimateEnds: samples };
  return kind === null || ageMs === null
    ? fields
    : {
        ...fields,
        estimateAgeMs: Math.round(ageMs + nowMs - runTimes.expectedAtMs),
        estimateKind: kind,
        callerEstimateMs: Math.round(spec.estimateMs),
      };
};

const sendFirstStart = (
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
  worker.nextPollAtMs = Math.max(worker.nextPollAtMs, turn.nowMs + pollGapMs(turn.work));
  markWorkerChanged(owned, worker);
  sendStart(turn, owned, worker, run, untilClockMs);
  logLine(turn, "info", "run.ordered", {
    item: item.key,
    run: run.number,
    worker: worker.report.id,
    pool: worker.report.pool,
    fence: Number(owned.fence),
    slackMs: roundedMs(
      (submission.occurrences.get(item.occurrence)?.dueAtMs ?? Infinity) - turn.nowMs,
    ),
    usedCpuMilli: worker.usedCpuMilli,
    usedMemoryMb: worker.usedMemoryMb,
    cpuMilli: worker.report.capacity.cpuMilli,
    memoryMb: worker.report.capacity.memoryMb,
    listedRuns: worker.listedRuns,
    orphanedRuns: worker.orphanedRuns.size,
    pollAnswerAgeMs: roundedMs(turn.nowMs - (worker.polledAtMs ?? -Infinity)),
    ...expectationFields(turn, item),
  });
};

/**
 * Sends the start order of a planned run, or has it wait until the worker has answered the poll that
 * reads its clock.
 */
const sendPlannedStart = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): void => {
  const clockCurrent = isClockCurrent(turn, worker);
  if (!clockCurrent && acceptsWork(turn, worker) && !worker.unreachable) {
    owned.startsAwaitingClock.add(run);
    return;
  }
  const untilClockMs = clockCurrent ? leaseForStart(turn, worker) : null;
  if (untilClockMs === null) {
    cancelPlannedStart(turn, owned, run);
  } else {
    sendFirstStart(turn, owned, worker, run, untilClockMs);
  }
};

/** Sends the start orders of planned runs that the workers' lease rows record now. */
export const sendStarts = (turn: Turn, owned: OwnedWork, runs: readonly Run[]): void => {
  for (const run of runs) {
    const worker = owned.workers.get(run.worker);
    const planned = worker?.runs.get(run.item.key) === run && run.phase === RUN_PHASE.PLANNED;
    if (worker !== undefined && planned) {
      sendPlannedStart(turn, owned, worker, run);
    }
  }
};

/** Sends the start orders that waited for a poll of their worker, or cancels their runs. */
export const sendAwaitingStarts = (turn: Turn, owned: OwnedWork): void => {
  if (owned.startsAwaitingClock.size === 0) {
    return;
  }
  const runs = [...owned.startsAwaitingClock];
  countSteps(turn, runs.length);
  owned.startsAwaitingClock.clear();
  if (mayStartRuns(turn, owned)) {
    sendStarts(turn, owned, runs);
  } else {
    cancelPlannedStarts(turn, owned, runs);
  }
};

/**
 * Sends the start order of a run again after an unanswered one. Starts are idempotent: a worker
 * starts a run number once, however often it receives the order.
 *
 * @returns Whether the order was sent.
 */
export const resendStart = (turn: Turn, owned: OwnedWork, worker: Worker, run: Run): boolean => {
  const mayResend =
    run.phase === RUN_PHASE.ORDERED &&
    run.startsSent < ORDER.MAX_START_ATTEMPTS &&
    isOwnershipConfirmed(turn, owned) &&
    isEvacuationViewFresh(turn);
  const untilClockMs = mayResend ? leaseForStart(turn, worker) : null;
  if (untilClockMs === null) {
    return false;
  }
  sendStart(turn, owned, worker, run, untilClockMs);
  logLine(turn, "info", "run.orderedAgain", {
    item: run.item.key,
    run: run.number,
    worker: worker.report.id,
    startsSent: run.startsSent,
  });
  return true;
};
