import { PLACEMENT, STORE } from "../constants.js";
import { dispatch, hasWorkToPlace, markBacklogsChanged } from "./dispatch.js";
import { evictFromDrainingWorkers, evictFromEvacuatedZones } from "../workers/eviction.js";
import { reportEvacuations } from "../workers/evacuationReports.js";
import { nextCommitDelayMs } from "../ownership/ownerCommit.js";
import { tickHostAllocation } from "../hosts/hostAllocation.js";
import type { OwnedWork } from "../state.js";
import { wakeAfter, type Turn } from "../turn.js";
import { tickWaves } from "../hosts/maintenanceWaves.js";

/** Evicts work from draining workers and evacuated zones, advances maintenance waves and allocates hosts to pools. */
const allocateHosts = (turn: Turn, owned: OwnedWork): void => {
  owned.allocatedAtMs = turn.nowMs;
  for (const pool of owned.pools.values()) {
    pool.displacedHosts = 0;
    pool.displacedItems.clear();
  }
  evictFromDrainingWorkers(turn, owned);
  evictFromEvacuatedZones(turn, owned);
  tickWaves(turn, owned);
  tickHostAllocation(turn, owned);
  reportEvacuations(turn, owned);
};

/**
 * Plans starts and host orders, all of which are sent only after an owner commit records them. Runs
 * when such a commit may be sent and not at each event, since planning earlier would send nothing
 * sooner.
 */
export const placeAndAllocate = (turn: Turn, owned: OwnedWork): void => {
  const allocatesNow = turn.nowMs - owned.allocatedAtMs >= PLACEMENT.RECHECK_MS;
  if (allocatesNow) {
    markBacklogsChanged(owned);
  }
  if (!allocatesNow && !hasWorkToPlace(owned)) {
    return;
  }
  const sincePlacedMs = turn.nowMs - owned.placedAtMs;
  const waitMs = Math.max(
    nextCommitDelayMs(turn, owned),
    STORE.OWNER_COMMIT_GAP_MS - sincePlacedMs,
  );
  if (waitMs > 0) {
    if (Number.isFinite(waitMs)) {
      wakeAfter(turn, waitMs);
    }
    return;
  }
  owned.placedAtMs = turn.nowMs;
  dispatch(turn, owned);
  if (allocatesNow) {
    allocateHosts(turn, owned);
  }
};
