import type { ValueOf } from "@heatherferry/common";
import { isClosedByZone } from "../evacuation/index.js";
import { isContested, isReplaced } from "../hosts/hostWorkers.js";
import { isUnresponsive } from "./leases.js";
import { hasOpenRival } from "./rivalRegistrations.js";
import type { OwnedWork, Worker } from "../state.js";
import type { Turn } from "../turn.js";

/** Why a worker accepts no new work. */
export const WORKER_CLOSURE = {
  /** The store lists it no longer. */
  DEREGISTERED: "deregistered",
  /** It has restarted, and its new capacity is not known yet. */
  REPORT_OUTDATED: "reportOutdated",
  /** It has not confirmed this owner's fencing token. */
  UNFENCED: "unfenced",
  /** Its last poll failed. */
  UNREACHABLE: "unreachable",
  CLOCK_UNKNOWN: "clockUnknown",
  DRAINING: "draining",
  /** Its availability zone is being evacuated, or has only begun to return. */
  ZONE_EVACUATED: "zoneEvacuated",
  /** It is kept free for a move or the maintenance of its host. */
  RESERVED: "reserved",
  HOST_RECLAIMED: "hostReclaimed",
  /**
   * Another registration names its host, or its id with another start or address, and nobody has
   * answered since.
   */
  CONTESTED: "contested",
  /** A newer worker runs on its host. */
  REPLACED: "replaced",
  /** It pauses after failures or a refused order. */
  SUSPENDED: "suspended",
  /** Runs that a previous owner stopped may still use some of its capacity. */
  CAPACITY_UNKNOWN: "capacityUnknown",
  /** The answer to its poll is overdue. */
  UNRESPONSIVE: "unresponsive",
} as const;

export type WorkerClosure = ValueOf<typeof WORKER_CLOSURE>;

/** Returns why the owner can't send a worker orders; null if it can. */
const linkClosure = (worker: Worker): WorkerClosure | null => {
  if (!worker.registered) {
    return WORKER_CLOSURE.DEREGISTERED;
  }
  if (!worker.reportCurrent) {
    return WORKER_CLOSURE.REPORT_OUTDATED;
  }
  if (!worker.fenced) {
    return WORKER_CLOSURE.UNFENCED;
  }
  if (worker.unreachable) {
    return WORKER_CLOSURE.UNREACHABLE;
  }
  return worker.clock === null ? WORKER_CLOSURE.CLOCK_UNKNOWN : null;
};

/** Returns why a worker's host takes no new work; null if it does. */
const hostClosure = (turn: Turn, owned: OwnedWork, worker: Worker): WorkerClosure | null => {
  if (worker.report.draining) {
    return WORKER_CLOSURE.DRAINING;
  }
  if (isClosedByZone(turn.work.evacuations, worker.report, turn.nowMs)) {
    return WORKER_CLOSURE.ZONE_EVACUATED;
  }
  if (worker.reservedFor !== null) {
    return WORKER_CLOSURE.RESERVED;
  }
  if (worker.hostReclaimed) {
    return WORKER_CLOSURE.HOST_RECLAIMED;
  }
  if (hasOpenRival(worker) || isContested(owned, worker)) {
    return WORKER_CLOSURE.CONTESTED;
  }
  return isReplaced(turn, owned, worker) ? WORKER_CLOSURE.REPLACED : null;
};

/** Returns why a worker accepts no new work for the moment; null if it does. */
const pauseClosure = (turn: Turn, worker: Worker): WorkerClosure | null => {
  if (worker.suspendedUntilMs > turn.nowMs) {
    return WORKER_CLOSURE.SUSPENDED;
  }
  if (worker.capacityKnownAtMs > turn.nowMs) {
    return WORKER_CLOSURE.CAPACITY_UNKNOWN;
  }
  return isUnresponsive(turn, worker) ? WORKER_CLOSURE.UNRESPONSIVE : null;
};

/** Returns why a worker accepts no new work now, whatever capacity it has; null if it accepts some. */
export const closureOf = (turn: Turn, owned: OwnedWork, worker: Worker): WorkerClosure | null =>
  linkClosure(worker) ?? hostClosure(turn, owned, worker) ?? pauseClosure(turn, worker);

/** Whether a worker accepts new work now. */
export const isUsable = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  closureOf(turn, owned, worker) === null;
