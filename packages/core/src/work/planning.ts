import { PLACING, STORE } from "./constants.js";
import { dispatch, mayPlace, recheckPools } from "./dispatch.js";
import { emptyLeaving } from "./emptying.js";
import { untilWriteMs } from "./ledger.js";
import { tickLending } from "./lending.js";
import type { OwnedWork } from "./state.js";
import { wakeAfter, type Turn } from "./turn.js";
import { tickWaves } from "./waves.js";

/** Evicts work from leaving workers, advances maintenance waves and allocates hosts to pools. */
const allocateHosts = (turn: Turn, owned: OwnedWork): void => {
  owned.dividedAtMs = turn.nowMs;
  for (const pool of owned.pools.values()) {
    pool.displacedHosts = 0;
  }
  emptyLeaving(turn, owned);
  tickWaves(turn, owned);
  tickLending(turn, owned);
};

/**
 * Plans starts and host orders, all of which are sent only after a write of the owner's row records
 * them. Runs when that row may be written and not at each event, since planning earlier would send
 * nothing sooner.
 */
export const placeAndDivide = (turn: Turn, owned: OwnedWork): void => {
  const allocatesNow = turn.nowMs - owned.dividedAtMs >= PLACING.RECHECK_MS;
  if (allocatesNow) {
    recheckPools(owned);
  }
  if (!allocatesNow && !mayPlace(owned)) {
    return;
  }
  const sincePlacedMs = turn.nowMs - owned.placedAtMs;
  const waitMs = Math.max(untilWriteMs(turn, owned), STORE.LEDGER_GAP_MS - sincePlacedMs);
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
