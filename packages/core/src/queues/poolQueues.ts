import type { PoolId } from "@heatherferry/common";
import { createFairQueue, setShare, type FairQueue } from "@heatherferry/coordination";
import type { State } from "../state.js";
import type { QueuesState } from "./types.js";

export const initialQueues = (): QueuesState => ({ pools: new Map(), changed: new Set() });

/**
 * @param state - The state to change.
 * @param pool - A pool; its queue is made when first asked for.
 * @returns The pool's queue.
 */
export const poolQueue = (state: State, pool: PoolId): FairQueue => {
  const known = state.queues.pools.get(pool);
  if (known !== undefined) {
    return known;
  }
  const made = createFairQueue();
  state.queues.pools.set(pool, made);
  setShares(state, made);
  return made;
};

const setShares = (state: State, queue: FairQueue): void => {
  for (const { team, share } of state.revisions.rules.teams.values()) {
    setShare(queue, team, share);
  }
};

/**
 * Takes over the shares of the rules in force.
 *
 * @param state - The state to change.
 */
export const rulesChangedQueues = (state: State): void => {
  for (const [pool, queue] of state.queues.pools) {
    setShares(state, queue);
    state.queues.changed.add(pool);
  }
};

/**
 * Has every pool with waiting requests looked at again: time alone may have freed something.
 *
 * @param state - The state to change.
 */
export const recheckWaitingPools = (state: State): void => {
  for (const [pool, queue] of state.queues.pools) {
    if (queue.length > 0) {
      state.queues.changed.add(pool);
    }
  }
};
