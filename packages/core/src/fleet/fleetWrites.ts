import type { PoolId, RowKey } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { RowBody } from "../platform/types.js";
import { submitWrite } from "../platform/writes.js";
import type { State } from "../state.js";
import { budgetKey, hostKey, leaseKey } from "./keys.js";
import type { DrainRows } from "./types.js";

/** Rows to write in one transaction under a lease. */
export interface FleetWrite {
  readonly puts: readonly { readonly key: RowKey; readonly body: RowBody }[];
}

/**
 * Combines the row of a host and the budget row of its pool into one transaction.
 *
 * @param rows - The two rows as they are to be written.
 * @returns The transaction.
 */
export const drainWrite = ({ host, budget }: DrainRows): FleetWrite => ({
  puts: [
    { key: hostKey(host.availabilityZone, host.hostId), body: host },
    { key: budgetKey(budget.pool), body: budget },
  ],
});

/**
 * Sends a transaction that commits only while the lease row is the same as in the mirror, so that
 * a write decided under a lease that has since been lost changes nothing.
 *
 * @param state - The state to change.
 * @param pool - The pool whose lease is held.
 * @param write - The rows to write.
 * @param effects - Receives the effects.
 */
export const submitFleetWrite = (
  state: State,
  pool: PoolId,
  write: FleetWrite,
  effects: Effect[],
): void => {
  const giveUpAtMs = state.fleet.leases.get(pool)?.expiresAtMs ?? state.nowMs;
  const unchanged = [leaseKey(pool)];
  const request = { purpose: "fleet", puts: write.puts, unchanged, giveUpAtMs } as const;
  state.fleet.writesInFlight.set(submitWrite(state, request, effects), pool);
};
