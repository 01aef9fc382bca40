import type { ValueOf } from "@heatherferry/common";
import { STARVATION } from "../constants.js";
import { countSteps } from "../handlingCost.js";
import type { IdleSubmission } from "./idleSubmissions.js";
import { mayStartRuns } from "../ownership/ownershipConfirmation.js";
import { hasRoomFor, mayRunOn, withinCeiling } from "../placement/placement.js";
import { mayFail } from "../placement/placementPass.js";
import { otherOnHost } from "../hosts/hostWorkers.js";
import { poolOf } from "../hosts/pools.js";
import type { Item, OwnedWork, Submission, Worker } from "../state.js";
import { poolOfSubmission } from "./submissionStates.js";
import { logLine, type Turn } from "../turn.js";
import type { WorkerId } from "../types.js";
import { hasOpenRival } from "../workers/rivalRegistrations.js";
import { closureOf, type WorkerClosure } from "../workers/workerAvailability.js";
import { reservedResources } from "../workers/workerResources.js";

/** Why nothing of a submission runs although a worker of its pool has room for an item of it. */
export const STARVATION_REASON = {
  /** None of its items is ready, although it has not ended. */
  NOT_READY: "notReady",
  /** Its next items wait for others to leave the owner's memory. */
  ITEM_ROOM: "itemRoom",
  /** It is not in line for the pool of its queue. */
  NOT_QUEUED: "notQueued",
  /** The item may still run on a worker that has not confirmed this owner's fencing token. */
  WITHHELD: "withheld",
  /** Its team has reached its resource ceiling. */
  CEILING: "ceiling",
  /** Its progress row has no room for another failed run. */
  FAILURE_ROOM: "failureRoom",
  /** No worker with room accepts new work. */
  WORKERS_CLOSED: "workersClosed",
  /** The workers with room lack its label, or run as many items of its step as they may. */
  STEP_LIMIT: "stepLimit",
  /** Not enough workers have room for a gang at once, or it was not tried yet. */
  GANG: "gang",
  /** Ownership, or a view that starts depend on, is not confirmed at present. */
  UNCONFIRMED: "unconfirmed",
  /** It could start, but no placement pass has come to it. */
  NOT_TRIED: "notTried",
} as const;

export type StarvationReason = ValueOf<typeof STARVATION_REASON>;

/** What keeps a submission from running. */
interface Starvation {
  readonly reason: StarvationReason;
  /** Its first item that could run; null if none is ready. */
  readonly item: Item | null;
  readonly workersWithRoom: number;
  /** The first of these workers; null if there is none. */
  readonly worker: Worker | null;
  /** Why this worker accepts no new work; null if it does. */
  readonly closure: WorkerClosure | null;
}

/** Returns what keeps a submission of which no item is ready; null if no item is due. */
const starvationUnready = (owned: OwnedWork, submission: Submission): Starvation | null => {
  if (submission.occurrences.size === 0) {
    return null;
  }
  const waits = owned.awaitingItemRoom.has(submission);
  const reason = waits ? STARVATION_REASON.ITEM_ROOM : STARVATION_REASON.NOT_READY;
  return { reason, item: null, workersWithRoom: 0, worker: null, closure: null };
};

const reasonBesideRoom = (
  turn: Turn,
  owned: OwnedWork,
  item: Item,
  workers: readonly Worker[],
): StarvationReason => {
  const { submission, spec } = item;
  if (submission.backlog !== poolOf(owned, poolOfSubmission(turn, submission.row)).backlog) {
    return STARVATION_REASON.NOT_QUEUED;
  }
  if (owned.withheldItems.has(item.key)) {
    return STARVATION_REASON.WITHHELD;
  }
  if (!withinCeiling(turn, owned, submission, spec)) {
    return STARVATION_REASON.CEILING;
  }
  if (!mayFail(submission, item)) {
    return STARVATION_REASON.FAILURE_ROOM;
  }
  const open = workers.filter((worker) => closureOf(turn, owned, worker) === null);
  if (open.length === 0) {
    return STARVATION_REASON.WORKERS_CLOSED;
  }
  if (!open.some((worker) => mayRunOn(worker, item))) {
    return STARVATION_REASON.STEP_LIMIT;
  }
  if (!mayStartRuns(turn, owned)) {
    return STARVATION_REASON.UNCONFIRMED;
  }
  return spec.gang ? STARVATION_REASON.GANG : STARVATION_REASON.NOT_TRIED;
};

/** Returns workers that have room for an item, among the first that may have the processor time. */
const workersWithRoom = (turn: Turn, owned: OwnedWork, item: Item): readonly Worker[] => {
  const { capacityIndex } = poolOf(owned, poolOfSubmission(turn, item.submission.row));
  const needs = reservedResources(item.spec);
  const found: Worker[] = [];
  let workersLeft: number = STARVATION.MAX_WORKERS;
  for (const worker of capacityIndex.withFreeCpu(needs.cpuMilli)) {
    if (workersLeft === 0) {
      break;
    }
    workersLeft -= 1;
    countSteps(turn, 1);
    if (hasRoomFor(worker, needs)) {
      found.push(worker);
    }
  }
  return found;
};

/** Returns the first ready item that some worker can hold; null if there is none. */
const firstPlaceable = ({ ready, obstacles }: Submission): Item | null => {
  for (const item of ready) {
    if (!obstacles.has(item.step)) {
      return item;
    }
  }
  return null;
};

/** Returns what keeps a submission without a booked run; null if it waits for room or for its time. */
const starvationOf = (turn: Turn, owned: OwnedWork, submission: Submission): Starvation | null => {
  if (submission.ready.size === 0) {
    return starvationUnready(owned, submission);
  }
  const item = firstPlaceable(submission);
  if (item === null) {
    return null;
  }
  const withRoom = workersWithRoom(turn, owned, item);
  const [first] = withRoom;
  if (first === undefined) {
    return null;
  }
  return {
    reason: reasonBesideRoom(turn, owned, item, withRoom),
    item,
    workersWithRoom: withRoom.length,
    worker: first,
    closure: closureOf(turn, owned, first),
  };
};

/**
 * Returns the id of another registration that keeps a worker from work, which is the worker's own id
 * if that has an open rival; null if there is none.
 */
const otherRegistration = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker | null,
): WorkerId | null => {
  if (worker === null || hasOpenRival(worker)) {
    return worker?.report.id ?? null;
  }
  return otherOnHost(turn, owned, worker)?.report.id ?? null;
};

const logStarvation = (
  turn: Turn,
  owned: OwnedWork,
  { row }: Submission,
  { reason, item, workersWithRoom, worker, closure }: Starvation,
  idleMs: number,
): void => {
  logLine(turn, "warn", "submission.starved", {
    submission: row.id,
    item: item?.key ?? null,
    team: row.team,
    pool: poolOfSubmission(turn, row),
    reason,
    workersWithRoom,
    worker: worker?.report.id ?? null,
    otherRegistration: otherRegistration(turn, owned, worker),
    closure,
    idleMs: Math.round(idleMs),
    fence: Number(owned.fence),
  });
};

/** Returns the submissions that were not checked for longest. */
const firstIdle = ({ idleSubmissions }: OwnedWork): [Submission, IdleSubmission][] => {
  const first: [Submission, IdleSubmission][] = [];
  for (const entry of idleSubmissions) {
    if (first.length >= STARVATION.MAX_SUBMISSIONS) {
      break;
    }
    first.push(entry);
  }
  return first;
};

/**
 * Determines of some submissions why nothing of them has run for `STARVATION.AFTER_MS`, and logs a
 * reason that is new and that two checks in a row have found. The next check goes on with the
 * others.
 */
export const checkStarvation = (turn: Turn, owned: OwnedWork): void => {
  if (turn.nowMs - owned.starvationCheckedAtMs < STARVATION.CHECK_INTERVAL_MS) {
    return;
  }
  owned.starvationCheckedAtMs = turn.nowMs;
  let linesLeft: number = STARVATION.MAX_LINES;
  for (const [submission, idle] of firstIdle(owned)) {
    owned.idleSubmissions.delete(submission);
    owned.idleSubmissions.set(submission, idle);
    const idleMs = turn.nowMs - idle.sinceMs;
    const starvation = idleMs < STARVATION.AFTER_MS ? null : starvationOf(turn, owned, submission);
    const reason = starvation?.reason ?? null;
    const isNew = reason === idle.starvation && reason !== idle.loggedStarvation;
    if (starvation !== null && isNew && linesLeft > 0) {
      linesLeft -= 1;
      idle.loggedStarvation = reason;
      logStarvation(turn, owned, submission, starvation, idleMs);
    }
    idle.starvation = reason;
  }
};
