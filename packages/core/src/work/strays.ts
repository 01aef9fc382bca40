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

/** @returns How a worker's lists name a run. */
export const runNameOf = ({ item, run }: { item: ItemKey; run: number }): string =>
  `${item} ${run}`;

const charge = (owned: OwnedWork, worker: Worker, stray: Stray, sign: 1 | -1): void => {
  chargeRoom(worker, stray.room, sign);
  chargeTeam(owned.teams, stray.team, stray.needs, sign);
};

/** A run of a submission that is not known may take all that the worker has. */
const newStray = (turn: Turn, owned: OwnedWork, worker: Worker, line: RunningLine): Stray => {
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

const sendStop = (turn: Turn, owned: OwnedWork, worker: Worker, stray: Stray): void => {
  stray.stopSentAtMs = turn.nowMs;
  turn.effects.push({
    type: "worker/stop",
    item: stray.item,
    run: stray.run,
    ...targetOf(owned, worker),
  });
  logLine(turn, "warn", "run.strayStopped", {
    item: stray.item,
    run: stray.run,
    worker: worker.report.id,
    known: findItem(owned, stray.item) !== null,
  });
};

/**
 * Takes a run that a look lists and that should not be there: it is stopped, and takes room until
 * it is gone.
 *
 * @param look - Number of the look.
 */
export const strayListed = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  line: RunningLine,
  look: number,
): void => {
  const name = runNameOf(line);
  let stray = worker.strays.get(name);
  if (stray === undefined) {
    checkRunningTwice(turn, worker, findItem(owned, line.item), line);
    stray = newStray(turn, owned, worker, line);
    worker.strays.set(name, stray);
    leaseChanged(owned, worker.report.id);
    charge(owned, worker, stray, 1);
  }
  stray.shownByLook = look;
  const sinceStopMs = turn.nowMs - (stray.stopSentAtMs ?? -Infinity);
  if (sinceStopMs >= ORDER.STOP_REPEAT_MS && isSure(turn, owned)) {
    sendStop(turn, owned, worker, stray);
  }
};

/** Gives back the room of a stray run that is over; does nothing where there is none. */
export const strayEnded = (
  owned: OwnedWork,
  worker: Worker,
  run: { readonly item: ItemKey; readonly run: number },
): void => {
  const stray = worker.strays.get(runNameOf(run));
  if (stray === undefined) {
    return;
  }
  worker.strays.delete(runNameOf(run));
  leaseChanged(owned, worker.report.id);
  charge(owned, worker, stray, -1);
  poolOf(owned, worker.report.pool).dirty = true;
};

/** Lets go of all stray runs of a worker whose life, or lease, is over. */
export const endStrays = (owned: OwnedWork, worker: Worker): void => {
  for (const stray of worker.strays.values()) {
    strayEnded(owned, worker, stray);
  }
};

/** Lets go of stray runs whose lease nothing has extended. */
export const tickStrays = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  if (worker.strays.size === 0) {
    return;
  }
  for (const stray of worker.strays.values()) {
    if (turn.nowMs > Math.max(stray.leaseEndsAtMs, worker.leaseEndsAtMs ?? -Infinity)) {
      strayEnded(owned, worker, stray);
    }
  }
};
