import { LOG_CLASS, type EntryHostId, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { mirroredRow, tableNowMs, viewAgeMs } from "../platform/mirror.js";
import type { WriteOutcome } from "../platform/types.js";
import { rowKeyOf, submitWrite } from "../platform/writes.js";
import type { State } from "../state.js";
import { FLEET_LEASE, MAINTAINER_LEASE } from "./constants.js";
import { leaseKey } from "./keys.js";
import { heartbeatAgeMs } from "./heartbeatAge.js";
import type { MaintainerLeaseRow } from "./types.js";

const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;

const hashOf = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
};

/**
 * Counts the live entry hosts whose rendezvous hash for the pool is higher than that of this
 * maintainer's own host. The higher this rank, the longer the maintainer waits before it claims
 * the lease.
 */
const rankOf = (state: State, pool: PoolId): number => {
  const own = state.node.identity.entryHostId;
  const score = (id: EntryHostId): number => hashOf(`${pool}/${id}`);
  const ownScore = score(own);
  let rank = 0;
  for (const member of state.membership.members.values()) {
    const { entryHostId, left } = member.row;
    const isLive = !left && heartbeatAgeMs(state, member) < MAINTAINER_LEASE.TERM_MS;
    if (isLive && entryHostId !== own && score(entryHostId) > ownScore) {
      rank += 1;
    }
  }
  return Math.min(rank, MAINTAINER_LEASE.MAX_RANK);
};

/**
 * Whether this maintainer holds an unexpired lease on the pool and may act on it.
 *
 * @param state - The state to read.
 * @param pool - The pool of a lease.
 */
export const holdsLease = (state: State, pool: PoolId): boolean => {
  const lease = state.fleet.leases.get(pool);
  return lease !== undefined && state.nowMs < lease.expiresAtMs;
};

/**
 * Whether the outcome of a write under the lease is still unknown.
 *
 * @param state - The state to read.
 * @param pool - The pool of a lease.
 */
export const hasWriteInFlight = (state: State, pool: PoolId): boolean => {
  for (const busyPool of state.fleet.writesInFlight.values()) {
    if (busyPool === pool) {
      return true;
    }
  }
  return false;
};

/** Whether, as of the newest view, no other process can still act under the lease. */
const isFree = (state: State, pool: PoolId): boolean => {
  const row = mirroredRow(state, leaseKey(pool), "maintainerLease");
  if (row === null || row.body.released) {
    return true;
  }
  if (row.body.incarnation === state.node.identity.incarnation) {
    return true;
  }
  const tableTimeMs = tableNowMs(state);
  if (tableTimeMs === null) {
    return false;
  }
  const asOfMs = tableTimeMs - viewAgeMs(state, rowKeyOf(ROW_PREFIX.MAINTAINER_LEASE));
  return asOfMs - row.committedAtMs >= row.body.termMs + MAINTAINER_LEASE.MAX_CLOCK_SKEW_MS;
};

const writeLease = (
  state: State,
  pool: PoolId,
  epoch: number,
  released: boolean,
  effects: Effect[],
): void => {
  const { entryHostId, incarnation } = state.node.identity;
  const body: MaintainerLeaseRow = {
    type: "maintainerLease",
    pool,
    holder: entryHostId,
    incarnation,
    epoch,
    termMs: MAINTAINER_LEASE.TERM_MS,
    released,
  };
  const writeId = submitWrite(
    state,
    {
      purpose: "lease",
      puts: [{ key: leaseKey(pool), body }],
      giveUpAtMs: state.nowMs + MAINTAINER_LEASE.TERM_MS,
    },
    effects,
  );
  state.fleet.writesInFlight.set(writeId, pool);
};

const claimWhenFree = (state: State, pool: PoolId, effects: Effect[]): void => {
  const { leaseFreeSinceMs } = state.fleet;
  if (!isFree(state, pool)) {
    leaseFreeSinceMs.delete(pool);
    return;
  }
  const freeSinceMs = leaseFreeSinceMs.get(pool) ?? state.nowMs;
  leaseFreeSinceMs.set(pool, freeSinceMs);
  const delayMs = rankOf(state, pool) * MAINTAINER_LEASE.RANK_DELAY_MS;
  if (state.nowMs - freeSinceMs >= delayMs) {
    const epoch = mirroredRow(state, leaseKey(pool), "maintainerLease")?.body.epoch ?? 0;
    writeLease(state, pool, epoch + 1, false, effects);
  }
};

const renewWhenDue = (state: State, pool: PoolId, effects: Effect[]): void => {
  const lease = state.fleet.leases.get(pool);
  if (lease === undefined) {
    return;
  }
  const remainingMs = lease.expiresAtMs - state.nowMs;
  if (remainingMs <= MAINTAINER_LEASE.TERM_MS - MAINTAINER_LEASE.RENEW_AFTER_MS) {
    writeLease(state, pool, lease.epoch, false, effects);
  }
};

/** Returns the pools of the rules, the pools that still have hosts, and the fleet lease. */
const leasedPools = (state: State): ReadonlySet<PoolId> =>
  new Set([FLEET_LEASE, ...state.revisions.rules.pools.keys(), ...state.fleet.hostsByPool.keys()]);

/**
 * Renews the leases that this maintainer holds and claims free ones.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const stepLeases = (state: State, effects: Effect[]): void => {
  if (state.revisions.revision === 0) {
    return;
  }
  for (const pool of leasedPools(state)) {
    if (hasWriteInFlight(state, pool)) {
      continue;
    }
    if (holdsLease(state, pool)) {
      renewWhenDue(state, pool, effects);
    } else {
      state.fleet.leases.delete(pool);
      claimWhenFree(state, pool, effects);
    }
  }
};

/**
 * Releases all leases on a graceful shutdown.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const releaseLeases = (state: State, effects: Effect[]): void => {
  for (const [pool, lease] of state.fleet.leases) {
    if (!hasWriteInFlight(state, pool)) {
      writeLease(state, pool, lease.epoch, true, effects);
    }
  }
};

const startTerm = (state: State, body: MaintainerLeaseRow, firstSentAtMs: number): void => {
  const previous = state.fleet.leases.get(body.pool);
  const acquiredAtMs = previous?.epoch === body.epoch ? previous.acquiredAtMs : state.nowMs;
  const expiresAtMs = firstSentAtMs + body.termMs;
  state.fleet.leases.set(body.pool, { epoch: body.epoch, acquiredAtMs, expiresAtMs });
};

/**
 * Updates the held lease from the outcome of a write that acquires, renews or releases it.
 *
 * @param state - The state to change.
 * @param outcome - The outcome of the write.
 * @param effects - Receives log lines.
 */
export const handleLeaseWriteOutcome = (
  state: State,
  outcome: WriteOutcome,
  effects: Effect[],
): void => {
  const body = outcome.write.puts[0]?.body;
  if (body?.type !== "maintainerLease") {
    return;
  }
  if (outcome.result !== "committed") {
    if (body.released) {
      state.fleet.leases.delete(body.pool);
    }
    return;
  }
  if (body.released) {
    state.fleet.leases.delete(body.pool);
    return;
  }
  if (state.fleet.leases.get(body.pool)?.epoch !== body.epoch) {
    const fields = { pool: body.pool, epoch: body.epoch };
    effects.push({
      type: "log/write",
      level: "info",
      event: "lease.acquired",
      fields,
      lineClass: LOG_CLASS.ROUTINE,
    });
  }
  startTerm(state, body, outcome.firstSentAtMs);
};
