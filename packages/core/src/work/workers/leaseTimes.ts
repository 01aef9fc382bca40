import { LEASE, ORDER } from "../constants.js";
import type { Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { LeasedWorker } from "../types.js";

/** Returns the longest time that a duration on a worker's clock takes on this node's, in ms. */
export const durationOnOwnerMs = (onWorkerMs: number): number => onWorkerMs / LEASE.MIN_CLOCK_RATE;

/** Returns the longest time that a lease can last after the order that grants it, in ms. */
export const longestLeaseMs = ({ work }: Turn): number =>
  durationOnOwnerMs(work.bounds.holdMaxMs) + LEASE.END_MARGIN_MS;

/** Returns the longest lease that this owner grants, on the worker's clock, in ms. */
export const leaseTermMs = ({ work }: Turn): number =>
  Math.min(LEASE.TERM_MS, work.bounds.holdMaxMs);

/** Returns the longest time that a lease by the known clock lasts after its order, in ms. */
export const grantedLeaseMs = (turn: Turn): number =>
  durationOnOwnerMs(leaseTermMs(turn)) + LEASE.END_MARGIN_MS;

/**
 * Returns the longest time that a lease by the known clock lasts after an order of a previous owner,
 * in ms.
 *
 * @param row - The lease row that this owner left.
 */
export const inheritedLeaseMs = (turn: Turn, { leaseTermMs: termMs }: LeasedWorker): number =>
  termMs === undefined
    ? longestLeaseMs(turn)
    : Math.min(longestLeaseMs(turn), durationOnOwnerMs(termMs) + LEASE.END_MARGIN_MS);

/**
 * Returns when no order that this owner sent can matter to the worker's next incarnation any more:
 * none that grants a lease is on its way, and none of these leases lasts.
 */
const ordersOverAtMs = (turn: Turn, { leaseSentAtMs }: Worker): number =>
  (leaseSentAtMs ?? -Infinity) + ORDER.MAX_DELAY_MS + longestLeaseMs(turn);

/**
 * Returns until when a worker on which nothing runs may hold a lease that the next owner must know
 * of; -Infinity if there is none.
 */
export const unknownLeaseEndsAtMs = (turn: Turn, worker: Worker): number =>
  Math.max(
    worker.lateLeaseEndsAtMs ?? -Infinity,
    worker.leaseUnverified ? ordersOverAtMs(turn, worker) : -Infinity,
  );

/** Returns how much longer a lease by an earlier incarnation's clock may last, in whole ms. */
export const lateLeaseLeftMs = (turn: Turn, { lateLeaseEndsAtMs }: Worker): number =>
  Math.max(0, Math.ceil((lateLeaseEndsAtMs ?? -Infinity) - turn.nowMs));
