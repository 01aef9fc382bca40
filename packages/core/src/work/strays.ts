import { isSure } from "./certainty.js";
import { LEASE, ORDER } from "./constants.js";
import { leaseChanged } from "./leaseRows.js";
import { targetOf } from "./lives.js";
import { poolOf } from "./pools.js";
import { chargeRoom, NO_ROOM, roomOf } from "./room.js";
import { checkRunningTwice } from "./runTwice.js";
import type { OwnedWork, Stray, Worker } from "./state.js";
import { findItem, specOf, teamOf } from "./itemLookup.js";
import { chargeTeam } from "./teamUse.js";
import { logLine, type Turn } from "./turn.js";
import type { ItemKey, RunningLine } from "./types.js";

/** Returns the key of a run among a worker's orphaned runs. */
export const runNameOf = ({ item, run }: { item: ItemKey; run: number }): string =>
  `${item} ${run}`;

const charge = (owned: OwnedWork, worker: Worker, orphan: Stray, sign: 1 | -1): void => {
  chargeRoom(worker, orphan.room, sign);
  chargeTeam(owned.teams, orphan.team, orphan.needs, sign);
};

/**
 * Creates an orphaned run. If its submission is unknown, it may use the worker's whole capacity.
 */
const newOrphan = (turn: Turn, owned: OwnedWork, worker: Worker, line: RunningLine): Stray => {
  const spec = specOf(owned, line.item);
  return {
    item: line.item,
    run: line.run,
    room: spec === null ? worker.report.capacity : roomOf(spec),
    team: teamOf(owned, line.item),
    needs: spec?.needs ?? NO_ROOM,
    leaseEndsAtMs:
      turn.nowMs + turn.work.bounds.holdMaxMs / LEASE.SLOWEST_CLOCK + LEASE.END_MARGIN_MS,
    stopSentAtMs: null,
    shownByLook: null,
    missingSinceMs: null,
  };
};

const sendStop = (turn: Turn, owned: OwnedWork, worker: Worker, orphan: Stray): void => {
  orphan.stopSentAtMs = turn.nowMs;
  turn.effects.push({
    type: "worker/stop",
    item: orphan.item,
    run: orphan.run,
    ...targetOf(owned, worker),
  });
  logLine(turn, "warn", "run.orphanStopped", {
    item: orphan.item,
    run: orphan.run,
    worker: worker.report.id,
    known: findItem(owned, orphan.item) !== null,
  });
};

/**
 * Handles a listed run that isn't booked on the worker: orders it to stop and counts its resources
 * as used until it has ended.
 *
 * @param poll - Order number of the poll that listed the run.
 */
export const strayListed = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  line: RunningLine,
  poll: number,
): void => {
  const key = runNameOf(line);
  let orphan = worker.strays.get(key);
  if (orphan === undefined) {
    checkRunningTwice(turn, worker, findItem(owned, line.item), line);
    orphan = newOrphan(turn, owned, worker, line);
    worker.strays.set(key, orphan);
    leaseChanged(owned, worker.report.id);
    charge(owned, worker, orphan, 1);
  }
  orphan.shownByLook = poll;
  const sinceStopMs = turn.nowMs - (orphan.stopSentAtMs ?? -Infinity);
  if (sinceStopMs >= ORDER.STOP_REPEAT_MS && isSure(turn, owned)) {
    sendStop(turn, owned, worker, orphan);
  }
};

/** Removes an orphaned run that has ended and frees its resources. Does nothing if it isn't one. */
export const strayEnded = (
  owned: OwnedWork,
  worker: Worker,
  run: { readonly item: ItemKey; readonly run: number },
): void => {
  const orphan = worker.strays.get(runNameOf(run));
  if (orphan === undefined) {
    return;
  }
  worker.strays.delete(runNameOf(run));
  leaseChanged(owned, worker.report.id);
  charge(owned, worker, orphan, -1);
  poolOf(owned, worker.report.pool).dirty = true;
};

/** Removes all orphaned runs of a worker whose incarnation or lease has ended. */
export const endStrays = (owned: OwnedWork, worker: Worker): void => {
  for (const orphan of worker.strays.values()) {
    strayEnded(owned, worker, orphan);
  }
};

/** Removes the orphaned runs of a worker whose leases have expired. */
export const tickStrays = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  if (worker.strays.size === 0) {
    return;
  }
  for (const orphan of worker.strays.values()) {
    if (turn.nowMs > Math.max(orphan.leaseEndsAtMs, worker.leaseEndsAtMs ?? -Infinity)) {
      strayEnded(owned, worker, orphan);
    }
  }
};
