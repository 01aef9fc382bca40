import type { PoolId } from "@heatherferry/common";
import { createFairQueue, setShare, type FairQueue } from "@heatherferry/coordination";
import type { State } from "../state.js";
import type { QueuesState } from "./types.js";

export const initialQueues = (): QueuesState => ({ pools: new Map(), poolsToRecheck: new Set() });

/**
 * Returns the queue of a pool; creates it on first use.
 *
 * @param state - The state to change.
 * @param pool - The pool.
 * @returns The pool's queue.
 */
export const poolQueue = (state: State, pool: PoolId): FairQueue => {
  const existing = state.queues.pools.get(pool);
  if (existing !== undefined) {
    return existing;
  }
  const created = createFairQueue();
  state.queues.pools.set(pool, created);
  setShares(state, created);
  return created;
};

const setShares = (state: State, queue: FairQueue): void => {
  for (const { team, share } of state.revisions.rules.teams.values()) {
    setShare(queue, team, share);
  }
};

/**
 * Applies the teams' shares in the rules in force to all queues.
 *
 * @param state - The state to change.
 */
export const applyTeamShares = (state: State): void => {
  for (const [pool, queue] of state.queues.pools) {
    setShares(state, queue);
    state.queues.poolsToRecheck.add(pool);
  }
};

/**
 * Marks every pool with queued requests for a recheck, since a request may become startable by the
 * passing of time alone.
 *
 * @param state - The state to change.
 */
export const recheckWaitingPools = (state: State): void => {
  for (const [pool, queue] of state.queues.pools) {
    if (queue.length > 0) {
      state.queues.poolsToRecheck.add(pool);
    }
  }
};
