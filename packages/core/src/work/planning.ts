import { PLACING, STORE } from "./constants.js";
import { dispatch, mayPlace, recheckPools } from "./dispatch.js";
import { emptyLeaving } from "./emptying.js";
import { untilWriteMs } from "./ledger.js";
import { tickLending } from "./lending.js";
import type { OwnedWork } from "./state.js";
import { wakeAfter, type Turn } from "./turn.js";
import { tickWaves } from "./waves.js";

/** Moves work off workers that leave, and hosts to where they are wanted. */
const divideHosts = (turn: Turn, owned: OwnedWork): void => {
  owned.dividedAtMs = turn.nowMs;
  for (const pool of owned.pools.values()) {
    pool.displacedHosts = 0;
  }
  emptyLeaving(turn, owned);
  tickWaves(turn, owned);
  tickLending(turn, owned);
};

/**
 * Decides what has to stand in the owner's row before it may leave: starts and orders to hosts. That
 * is done when a row may be written, and not at each event, since nothing would leave any sooner.
 */
export const placeAndDivide = (turn: Turn, owned: OwnedWork): void => {
  const dividesNow = turn.nowMs - owned.dividedAtMs >= PLACING.RECHECK_MS;
  if (dividesNow) {
    recheckPools(owned);
  }
  if (!dividesNow && !mayPlace(owned)) {
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
  if (dividesNow) {
    divideHosts(turn, owned);
  }
};
