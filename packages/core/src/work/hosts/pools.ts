import type { PoolId } from "@heatherferry/common";
import type { OwnedWork, PoolWork } from "../state.js";
import { CapacityIndex } from "../placement/capacityIndex.js";
import { Backlog } from "../placement/backlog.js";

/** Returns the owner's state of a pool, which is created on first use. */
export const poolOf = (owned: OwnedWork, id: PoolId): PoolWork => {
  let pool = owned.pools.get(id);
  if (pool === undefined) {
    const capacityIndex = new CapacityIndex();
    pool = {
      id,
      workers: new Set(),
      backlog: new Backlog(capacityIndex),
      capacityIndex,
      exemplar: null,
      dirty: true,
      arrivals: [],
      steadyHosts: 0,
      displacedHosts: 0,
      displacedItems: new Set(),
      averagedAtMs: 0,
    };
    owned.pools.set(id, pool);
  }
  return pool;
};
