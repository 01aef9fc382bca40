import type { HostId } from "@heatherferry/common";
import { HOST_TIMING } from "../constants.js";
import { abandonRuns } from "../workers/abandonedRuns.js";
import type { OwnedWork, Reservation, Worker, WorkerIncarnation } from "../state.js";
import { removeOrphans } from "../workers/orphanedRuns.js";
import type { Turn } from "../turn.js";
import { markWorkerChanged } from "../workers/workerTimers.js";

/** Returns the incarnation of a worker; null if there is no worker. */
export const incarnationOf = (worker: Worker | null): WorkerIncarnation | null =>
  worker === null ? null : { id: worker.report.id, startWallMs: worker.report.startWallMs };

/** Whether a worker is this incarnation; an unknown start time matches any other. */
export const isIncarnation = ({ report }: Worker, incarnation: WorkerIncarnation | null): boolean =>
  report.id === incarnation?.id &&
  (report.startWallMs === null ||
    incarnation.startWallMs === null ||
    report.startWallMs === incarnation.startWallMs);

/** Returns the worker of this incarnation, or null if it is no longer known. */
export const findIncarnation = (
  owned: OwnedWork,
  incarnation: WorkerIncarnation | null,
): Worker | null => {
  const worker = incarnation === null ? undefined : owned.workers.get(incarnation.id);
  return worker !== undefined && isIncarnation(worker, incarnation) ? worker : null;
};

/** Adds a worker to the workers of its host. */
export const addHostWorker = (owned: OwnedWork, worker: Worker): void => {
  const { host } = worker.report;
  if (host === null || worker.hostReclaimed) {
    return;
  }
  const workers = owned.workersByHost.get(host);
  if (workers === undefined) {
    owned.workersByHost.set(host, new Set([worker]));
  } else {
    workers.add(worker);
    workers.forEach((other) => {
      markWorkerChanged(owned, other);
    });
  }
};

/** Removes a worker from the workers of its host; others registered there remain. */
export const removeHostWorker = (owned: OwnedWork, worker: Worker): void => {
  const { host } = worker.report;
  const workers = host === null ? undefined : owned.workersByHost.get(host);
  if (host === null || workers?.delete(worker) !== true) {
    return;
  }
  if (workers.size === 0) {
    owned.workersByHost.delete(host);
  }
};

/** Whether a worker accepts this owner's fencing token, and its last poll did not fail. */
const isReachable = ({ fenced, unreachable }: Worker): boolean => fenced && !unreachable;

/** Whether a worker has answered a poll of this owner, as the incarnation that is registered. */
export const hasEverAnswered = ({ aliveAfterMs }: Worker): boolean => aliveAfterMs !== null;

/** Whether both workers state when they started, and one did before the other. */
export const startedBefore = (worker: Worker, other: Worker): boolean =>
  worker.report.startWallMs !== null &&
  other.report.startWallMs !== null &&
  worker.report.startWallMs < other.report.startWallMs;

/** Whether a worker started on its host after the other, as far as is known. */
const isNewer = (worker: Worker, other: Worker): boolean => {
  if (startedBefore(worker, other) || startedBefore(other, worker)) {
    return startedBefore(other, worker);
  }
  if (isReachable(worker) !== isReachable(other)) {
    return isReachable(worker);
  }
  return worker.registeredAtMs > other.registeredAtMs;
};

/**
 * Whether a worker has shown that a host does not run the other, which never answered: a host runs
 * one worker at a time, and this one answered a poll that was sent after the other was registered.
 */
export const refutes = (worker: Worker, other: Worker): boolean =>
  !hasEverAnswered(other) &&
  worker.aliveAfterMs !== null &&
  worker.aliveAfterMs > other.registeredAtMs;

const isRefuted = (worker: Worker, workers: ReadonlySet<Worker>): boolean => {
  for (const other of workers) {
    if (refutes(other, worker)) {
      return true;
    }
  }
  return false;
};

/**
 * Whether the first answer of a worker is overdue, so that its registration stands for nobody. One
 * with a lease row of a previous owner still does, since work may run there.
 */
const isFirstAnswerOverdue = ({ nowMs }: Turn, owned: OwnedWork, worker: Worker): boolean =>
  nowMs - worker.registeredAtMs > HOST_TIMING.FIRST_ANSWER_OVERDUE_MS &&
  !owned.unfencedLeases.has(worker.report.id);

/** Whether a host may run a worker that is registered there, as far as answers tell. */
const mayRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  workers: ReadonlySet<Worker>,
): boolean =>
  hasEverAnswered(worker) ||
  !(isFirstAnswerOverdue(turn, owned, worker) || isRefuted(worker, workers));

/**
 * Returns the worker that a host runs: the newest of its registered workers, since registrations of
 * earlier ones expire late. A registration without an answer counts until an earlier worker has
 * answered after it, or until its first answer is overdue. Null if the host runs none.
 */
export const workerOn = (turn: Turn, owned: OwnedWork, host: HostId): Worker | null => {
  const workers = owned.workersByHost.get(host);
  let newest: Worker | null = null;
  for (const worker of workers ?? []) {
    const isCandidate = newest === null || isNewer(worker, newest);
    if (isCandidate && workers !== undefined && mayRun(turn, owned, worker, workers)) {
      newest = worker;
    }
  }
  return newest;
};

/** Whether a newer worker runs on a worker's host. */
export const isReplaced = (turn: Turn, owned: OwnedWork, worker: Worker): boolean => {
  const { host } = worker.report;
  return (
    host !== null &&
    (owned.workersByHost.get(host)?.size ?? 0) > 1 &&
    workerOn(turn, owned, host) !== worker
  );
};

/**
 * Returns another registration for a worker's host, perhaps of a newer worker, that nobody has
 * answered for while this worker has answered no poll that was sent after it was read; null if there
 * is none.
 */
const contenderOf = (owned: OwnedWork, worker: Worker): Worker | null => {
  const { host } = worker.report;
  const others = host === null ? undefined : owned.workersByHost.get(host);
  if (others === undefined || others.size < 2 || !others.has(worker)) {
    return null;
  }
  for (const other of others) {
    const isOpen = !hasEverAnswered(other) && !refutes(worker, other);
    if (other !== worker && isOpen && !startedBefore(other, worker)) {
      return other;
    }
  }
  return null;
};

/** Whether another registration for a worker's host leaves open whether the host still runs it. */
export const isContested = (owned: OwnedWork, worker: Worker): boolean =>
  contenderOf(owned, worker) !== null;

/** Returns the other worker or registration that keeps a worker's host from it; null if none does. */
export const otherOnHost = (turn: Turn, owned: OwnedWork, worker: Worker): Worker | null => {
  const { host } = worker.report;
  const other = host === null ? null : (contenderOf(owned, worker) ?? workerOn(turn, owned, host));
  return other === worker ? null : other;
};

/** Whether a worker is reserved by this reservation. */
export const isReservedFor = (worker: Worker, { purpose, number }: Reservation): boolean =>
  worker.reservedFor?.purpose === purpose && worker.reservedFor.number === number;

/**
 * Reserves a worker, so that it gets no new work, unless another reservation holds it.
 *
 * @returns Whether this reservation holds the worker.
 */
export const reserveWorker = (worker: Worker, reservation: Reservation): boolean => {
  worker.reservedFor ??= reservation;
  return isReservedFor(worker, reservation);
};

/** Releases a worker if this reservation holds it. */
export const releaseWorker = (worker: Worker | null, reservation: Reservation): void => {
  if (worker !== null && isReservedFor(worker, reservation)) {
    worker.reservedFor = null;
  }
};

/** Ends everything on a worker whose host the platform moved to another pool. */
export const markHostReclaimed = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  worker.hostReclaimed = true;
  worker.leaseEndsAtMs = null;
  removeHostWorker(owned, worker);
  abandonRuns(turn, owned, worker, "its host was moved");
  removeOrphans(owned, worker);
};
