import type { AvailabilityZoneId } from "@heatherferry/common";
import { addRequest, removeRequest, zonesWithoutRow } from "../evacuation/index.js";
import type { StoreRow } from "../events.js";
import { logLine, roundedMs, type Turn } from "../turn.js";
import { NO_ROW, type StoreVersion } from "../types.js";

/** Has all waiting work placed anew, since workers of a zone have closed or opened. */
const retryPlacement = ({ work }: Turn): void => {
  work.owned?.pools.forEach((pool) => {
    pool.dirty = true;
  });
};

const workersIn = ({ work }: Turn, zone: AvailabilityZoneId): number | null =>
  work.owned === null
    ? null
    : [...work.owned.workers.values()].filter(({ report }) => report.availabilityZone === zone)
        .length;

/**
 * Takes a request to evacuate a zone into force. From then on nothing starts there.
 *
 * @param previousViewAtMs - When the last view without the request was asked for; null if there was
 *   none. The store has acknowledged the request later than that.
 */
export const evacuationRequested = (
  turn: Turn,
  zone: AvailabilityZoneId,
  version: StoreVersion,
  previousViewAtMs: number | null,
): void => {
  const { work, nowMs } = turn;
  const seenWallMs = Math.round(turn.wallMs);
  if (!addRequest(work.evacuations, { zone, version, seenAtMs: nowMs, seenWallMs })) {
    return;
  }
  retryPlacement(turn);
  logLine(turn, "info", "evacuation.requested", {
    zone,
    lagAtMostMs: previousViewAtMs === null ? null : roundedMs(nowMs - previousViewAtMs),
    boundMs: work.bounds.evacuationMs,
    workers: workersIn(turn, zone),
  });
};

/** Ends a request whose row was removed. */
export const evacuationRemoved = (
  turn: Turn,
  zone: AvailabilityZoneId,
  version: StoreVersion,
): void => {
  const request = removeRequest(turn.work.evacuations, zone, version, turn.nowMs);
  if (request !== null) {
    retryPlacement(turn);
    logLine(turn, "info", "evacuation.removed", {
      zone,
      afterMs: roundedMs(turn.nowMs - request.seenAtMs),
    });
  }
};

/** Ends the requests that a full read of the operators' table does not list. */
export const endUnlistedEvacuations = (turn: Turn, rows: readonly StoreRow[]): void => {
  const listed = new Set(rows.flatMap((row) => (row.type === "evacuation" ? [row.zone] : [])));
  for (const zone of zonesWithoutRow(turn.work.evacuations, listed)) {
    evacuationRemoved(turn, zone, NO_ROW);
  }
};
