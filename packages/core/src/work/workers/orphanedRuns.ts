import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { LEASE, ORDER } from "../constants.js";
import { markLeaseChanged } from "../store/leaseRows.js";
import { targetOf } from "./incarnations.js";
import { poolOf } from "../hosts/pools.js";
import { chargeResources, NO_RESOURCES, reservedResources } from "./workerResources.js";
import { logDuplicateRun } from "./duplicateRuns.js";
import type { OwnedWork, OrphanedRun, Worker } from "../state.js";
import { findItem, specOf, teamOf } from "../submissions/itemLookup.js";
import { chargeTeam } from "../placement/teamUse.js";
import { logLine, type Turn } from "../turn.js";
import type { ItemKey, RunningLine } from "../types.js";

/** Returns the key of a run among a worker's orphaned runs. */
export const runKeyOf = ({ item, run }: { item: ItemKey; run: number }): string => `${item} ${run}`;

const charge = (owned: OwnedWork, worker: Worker, orphan: OrphanedRun, sign: 1 | -1): void => {
  chargeResources(worker, orphan.resources, sign);
  chargeTeam(owned.teams, orphan.team, orphan.teamResources, sign);
};

/**
 * Creates an orphaned run. If its submission is unknown, it counts as using the worker's whole
 * capacity.
 */
const newOrphan = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  line: RunningLine,
): OrphanedRun => {
  const spec = specOf(owned, line.item);
  return {
    item: line.item,
    run: line.run,
    resources: spec === null ? worker.report.capacity : reservedResources(spec),
    team: teamOf(owned, line.item),
    teamResources: spec?.needs ?? NO_RESOURCES,
    leaseEndsAtMs:
      turn.nowMs + turn.work.bounds.holdMaxMs / LEASE.MIN_CLOCK_RATE + LEASE.END_MARGIN_MS,
    stopSentAtMs: null,
    listedByPoll: null,
    missingSinceMs: null,
  };
};

const sendStop = (turn: Turn, owned: OwnedWork, worker: Worker, orphan: OrphanedRun): void => {
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
export const orphanListed = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  line: RunningLine,
  poll: number,
): void => {
  const key = runKeyOf(line);
  let orphan = worker.orphanedRuns.get(key);
  if (orphan === undefined) {
    logDuplicateRun(turn, worker, findItem(owned, line.item), line);
    orphan = newOrphan(turn, owned, worker, line);
    worker.orphanedRuns.set(key, orphan);
    markLeaseChanged(owned, worker.report.id);
    charge(owned, worker, orphan, 1);
  }
  orphan.listedByPoll = poll;
  const sinceStopMs = turn.nowMs - (orphan.stopSentAtMs ?? -Infinity);
  if (sinceStopMs >= ORDER.STOP_RETRY_MS && isOwnershipConfirmed(turn, owned)) {
    sendStop(turn, owned, worker, orphan);
  }
};

/** Removes an orphaned run that has ended and frees its resources. Does nothing if it isn't one. */
export const removeOrphan = (
  owned: OwnedWork,
  worker: Worker,
  run: { readonly item: ItemKey; readonly run: number },
): void => {
  const orphan = worker.orphanedRuns.get(runKeyOf(run));
  if (orphan === undefined) {
    return;
  }
  worker.orphanedRuns.delete(runKeyOf(run));
  markLeaseChanged(owned, worker.report.id);
  charge(owned, worker, orphan, -1);
  poolOf(owned, worker.report.pool).dirty = true;
};

/** Removes all orphaned runs of a worker whose incarnation or lease has ended. */
export const removeOrphans = (owned: OwnedWork, worker: Worker): void => {
  for (const orphan of worker.orphanedRuns.values()) {
    removeOrphan(owned, worker, orphan);
  }
};

/** Removes the orphaned runs of a worker whose leases have expired. */
export const removeExpiredOrphans = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  if (worker.orphanedRuns.size === 0) {
    return;
  }
  for (const orphan of worker.orphanedRuns.values()) {
    if (turn.nowMs > Math.max(orphan.leaseEndsAtMs, worker.leaseEndsAtMs ?? -Infinity)) {
      removeOrphan(owned, worker, orphan);
    }
  }
};
