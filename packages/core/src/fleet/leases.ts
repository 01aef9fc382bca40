import { LOG_CLASS, type EntryHostId, type PoolId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { mirroredRow, tableNowMs, viewAgeMs } from "../platform/mirror.js";
import type { WriteOutcome } from "../platform/types.js";
import { rowKeyOf, submitWrite } from "../platform/writes.js";
import type { State } from "../state.js";
import { FLEET_LEASE, MAINTAINER_LEASE } from "./constants.js";
import { leaseKey } from "./keys.js";
import { silentForMs } from "./silence.js";
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

/** Maintainers that hold fewer of a lease's rendezvous scores wait longer before they claim it. */
const rankOf = (state: State, pool: PoolId): number => {
  const own = state.node.identity.entryHostId;
  const score = (id: EntryHostId): number => hashOf(`${pool}/${id}`);
  const ownScore = score(own);
  let rank = 0;
  for (const member of state.membership.members.values()) {
    const { entryHostId, left } = member.row;
    const counts = !left && silentForMs(state, member) < MAINTAINER_LEASE.TERM_MS;
    if (counts && entryHostId !== own && score(entryHostId) > ownScore) {
      rank += 1;
    }
  }
  return Math.min(rank, MAINTAINER_LEASE.MAX_RANK);
};

/**
 * @param state - The state to read.
 * @param pool - The pool of a lease.
 * @returns Whether this maintainer may act on the pool now.
 */
export const holdsLease = (state: State, pool: PoolId): boolean => {
  const lease = state.fleet.leases.get(pool);
  return lease !== undefined && state.nowMs < lease.untilMs;
};

/**
 * @param state - The state to read.
 * @param pool - The pool of a lease.
 * @returns Whether a write under the lease has not been settled yet.
 */
export const isBusy = (state: State, pool: PoolId): boolean => {
  for (const busyPool of state.fleet.writesInFlight.values()) {
    if (busyPool === pool) {
      return true;
    }
  }
  return false;
};

/** Whether nobody can act under the lease any more, as of the newest view. */
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
  return asOfMs - row.committedAtMs >= row.body.termMs + MAINTAINER_LEASE.SKEW_MS;
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
  const remainingMs = lease.untilMs - state.nowMs;
  if (remainingMs <= MAINTAINER_LEASE.TERM_MS - MAINTAINER_LEASE.RENEW_AFTER_MS) {
    writeLease(state, pool, lease.epoch, false, effects);
  }
};

/** Pools that rules name, and those that hosts are still in. */
const leasedPools = (state: State): ReadonlySet<PoolId> =>
  new Set([FLEET_LEASE, ...state.revisions.rules.pools.keys(), ...state.fleet.hostsByPool.keys()]);

/**
 * Renews the leases held and claims those that are free.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const stepLeases = (state: State, effects: Effect[]): void => {
  if (state.revisions.revision === 0) {
    return;
  }
  for (const pool of leasedPools(state)) {
    if (isBusy(state, pool)) {
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
 * Gives all leases back on a graceful shutdown.
 *
 * @param state - The state to change.
 * @param effects - Receives the effects.
 */
export const releaseLeases = (state: State, effects: Effect[]): void => {
  for (const [pool, lease] of state.fleet.leases) {
    if (!isBusy(state, pool)) {
      writeLease(state, pool, lease.epoch, true, effects);
    }
  }
};

const takeTerm = (state: State, body: MaintainerLeaseRow, firstSentAtMs: number): void => {
  const before = state.fleet.leases.get(body.pool);
  const acquiredAtMs = before?.epoch === body.epoch ? before.acquiredAtMs : state.nowMs;
  const untilMs = firstSentAtMs + body.termMs;
  state.fleet.leases.set(body.pool, { epoch: body.epoch, acquiredAtMs, untilMs });
};

/**
 * @param state - The state to change.
 * @param outcome - How the write of a lease ended.
 * @param effects - Receives the effects.
 */
export const writeSettledLease = (state: State, outcome: WriteOutcome, effects: Effect[]): void => {
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
      event: "lease.taken",
      fields,
      lineClass: LOG_CLASS.ROUTINE,
    });
  }
  takeTerm(state, body, outcome.firstSentAtMs);
};
