import type { PoolId, RowKey } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { RowBody } from "../platform/types.js";
import { submitWrite } from "../platform/writes.js";
import type { State } from "../state.js";
import { budgetKey, hostKey, leaseKey } from "./keys.js";
import type { DrainRows } from "./types.js";

/** A change of rows under a lease. */
export interface FleetWrite {
  readonly puts: readonly { readonly key: RowKey; readonly body: RowBody }[];
}

/**
 * @param rows - A host's row and the row of its pool's absences.
 * @returns Their change as one transaction.
 */
export const drainWrite = ({ host, budget }: DrainRows): FleetWrite => ({
  puts: [
    { key: hostKey(host.availabilityZone, host.hostId), body: host },
    { key: budgetKey(budget.pool), body: budget },
  ],
});

/**
 * Sends a change that takes effect only while the lease row is as mirrored: one that was
 * decided under a lease since lost changes nothing.
 *
 * @param state - The state to change.
 * @param pool - The pool whose lease is held.
 * @param write - The change.
 * @param effects - Receives the effects.
 */
export const submitFleetWrite = (
  state: State,
  pool: PoolId,
  write: FleetWrite,
  effects: Effect[],
): void => {
  const giveUpAtMs = state.fleet.leases.get(pool)?.untilMs ?? state.nowMs;
  const unchanged = [leaseKey(pool)];
  const request = { purpose: "fleet", puts: write.puts, unchanged, giveUpAtMs } as const;
  state.fleet.writesInFlight.set(submitWrite(state, request, effects), pool);
};
