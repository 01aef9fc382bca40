import { LEASE, ORDER } from "../constants.js";
import { markLeaseChanged } from "../store/leaseRows.js";
import {
  durationOnOwnerMs,
  inheritedLeaseMs,
  longestLeaseMs,
  unknownLeaseEndsAtMs,
} from "./leaseTimes.js";
import type { OwnedWork, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { LeasedWorker, WorkerId } from "../types.js";

/**
 * @packageDocumentation
 * Leases on a worker that don't follow from this owner's orders to the known incarnation: a worker
 * measures a lease on its own clock, which starts anew with each incarnation. An order by the clock
 * of an earlier incarnation thus grants a later one the longest lease that a worker accepts,
 * whichever owner sent it.
 */

const clockNowMs = (turn: Turn, { clock }: Pick<Worker, "clock">): number | null =>
  clock === null ? null : clock.clockMs + (turn.nowMs - clock.atMs);

/** Orders to an incarnation that the next one may carry out. */
interface EarlierOrders {
  /** When the last of them was sent. */
  readonly sentAtMs: number;
  /** Latest lease end in one of them, on the clock of the incarnation that they were sent to. */
  readonly untilClockMs: number;
}

/** Returns the orders with leases that an incarnation of a worker was sent. */
const ordersTo = (turn: Turn, owned: OwnedWork, from: Worker): EarlierOrders[] => {
  const orders: EarlierOrders[] = [];
  if (from.leaseSentAtMs !== null) {
    orders.push({ sentAtMs: from.leaseSentAtMs, untilClockMs: from.leaseUntilClockMs });
  }
  if (from.hadPreviousOwner) {
    const clockMs = clockNowMs(turn, from);
    const untilClockMs = clockMs === null ? Infinity : clockMs + LEASE.TERM_MS;
    orders.push({ sentAtMs: owned.acquiredAtMs, untilClockMs });
  }
  return orders.filter(({ sentAtMs }) => turn.nowMs < sentAtMs + ORDER.MAX_DELAY_MS);
};

/** Returns when the last lease has ended that one of the orders may grant the next incarnation. */
const lateLeaseEndMs = (turn: Turn, next: Pick<Worker, "clock">, orders: EarlierOrders): number => {
  const lastGrantAtMs = orders.sentAtMs + ORDER.MAX_DELAY_MS;
  const leftMs = Math.max(0, orders.untilClockMs - (clockNowMs(turn, next) ?? 0));
  return Math.min(
    lastGrantAtMs + longestLeaseMs(turn),
    turn.nowMs + durationOnOwnerMs(leftMs) + LEASE.END_MARGIN_MS,
  );
};

const expectLateLease = (owned: OwnedWork, worker: Worker, endsAtMs: number): void => {
  worker.lateLeaseEndsAtMs = Math.max(worker.lateLeaseEndsAtMs ?? -Infinity, endsAtMs);
  worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs ?? -Infinity, endsAtMs);
  markLeaseChanged(owned, worker.report.id);
};

/**
 * Expects the leases that late orders to a worker's previous incarnation may grant the next one.
 *
 * @param from - The previous incarnation.
 * @param to - The next one.
 */
export const expectLateLeases = (turn: Turn, owned: OwnedWork, from: Worker, to: Worker): void => {
  to.hadPreviousOwner = from.hadPreviousOwner;
  for (const orders of ordersTo(turn, owned, from)) {
    expectLateLease(owned, to, lateLeaseEndMs(turn, to, orders));
  }
  if (from.lateLeaseEndsAtMs !== null) {
    expectLateLease(owned, to, from.lateLeaseEndsAtMs);
  }
};

/**
 * Returns when the last lease has ended that an order to a worker may grant the incarnation that an
 * open rival registration names; -Infinity if there is none.
 */
export const leasesOfRivalEndAtMs = (turn: Turn, owned: OwnedWork, worker: Worker): number => {
  const { rival } = worker;
  if (rival?.refuted !== false) {
    return -Infinity;
  }
  const { clockMs } = rival.report;
  const next = { clock: clockMs === null ? null : { clockMs, atMs: rival.readAtMs } };
  return Math.max(
    ...ordersTo(turn, owned, worker).map((orders) => lateLeaseEndMs(turn, next, orders)),
  );
};

/**
 * Expects the leases that previous owners have granted a worker, once it has confirmed this owner's
 * fencing token and thus accepts no further order of theirs.
 *
 * @param row - The lease row that they left.
 */
export const expectPreviousLeases = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  row: LeasedWorker,
): void => {
  worker.hadPreviousOwner = true;
  const grantedUntilMs = owned.acquiredAtMs + inheritedLeaseMs(turn, row);
  worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs ?? -Infinity, grantedUntilMs);
  if (row.startWallMs === undefined || row.startWallMs !== worker.report.startWallMs) {
    expectLateLease(owned, worker, turn.nowMs + longestLeaseMs(turn));
  } else if (row.lateLeaseMs !== undefined && row.lateLeaseMs > 0) {
    expectLateLease(owned, worker, owned.acquiredAtMs + row.lateLeaseMs);
  }
};

/**
 * Returns when all leases have ended that previous owners may have granted a worker that has not
 * confirmed this owner's fencing token.
 *
 * @param row - The lease row that they left.
 */
export const previousLeasesEndAtMs = (
  turn: Turn,
  owned: OwnedWork,
  id: WorkerId,
  row: LeasedWorker,
): number => {
  const known = owned.workers.get(id)?.report.startWallMs ?? null;
  const hasRestarted = known !== null && row.startWallMs !== undefined && row.startWallMs !== known;
  return hasRestarted
    ? owned.acquiredAtMs + ORDER.MAX_DELAY_MS + longestLeaseMs(turn)
    : owned.acquiredAtMs + Math.max(inheritedLeaseMs(turn, row), row.lateLeaseMs ?? 0);
};

/** Records that a poll has shown that the known incarnation received the last order. */
export const leaseVerified = (owned: OwnedWork, worker: Worker): void => {
  if (worker.leaseUnverified) {
    worker.leaseUnverified = false;
    markLeaseChanged(owned, worker.report.id);
  }
};

/** Forgets the leases of a worker that have ended, so that its lease row is written anew. */
export const forgetEndedLeases = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const expected = worker.lateLeaseEndsAtMs !== null || worker.leaseUnverified;
  if (expected && turn.nowMs > unknownLeaseEndsAtMs(turn, worker)) {
    worker.lateLeaseEndsAtMs = null;
    worker.leaseUnverified = false;
    markLeaseChanged(owned, worker.report.id);
  }
};
