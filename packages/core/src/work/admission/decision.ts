import type { PoolAdmission, TeamLine } from "../types.js";
import { RESOURCE_NAMES } from "./averages.js";
import { ADMISSION, ADMISSION_RESULT, ROOM } from "./constants.js";
import type { AdmissionDecision, AdmissionView, Newcomer, Resource } from "./types.js";

const ADMIT: AdmissionDecision = { result: ADMISSION_RESULT.ADMIT };

/**
 * Whether a newcomer belongs to the part of its team's submissions that is within the team's rate.
 * All nodes let the same part through, so that together they let the team's rate through.
 */
const isWithinRate = ({ rate, draw }: Newcomer, { offeredPerS }: AdmissionView): boolean =>
  offeredPerS === null || draw * offeredPerS < rate * ROOM.RATE_SLACK;

/** Returns the wait behind those entries of a line that are due before a newcomer. */
const waitInLine = ({ duesMs, waitsMs }: TeamLine, dueInMs: number): number =>
  waitsMs[duesMs.findLastIndex((dueMs) => dueMs <= dueInMs)] ?? 0;

const waitFor = (
  pool: PoolAdmission,
  resource: Resource,
  { team, priority, dueInMs }: Newcomer,
  ageMs: number,
): number => {
  const forecast = pool[resource];
  if (forecast === undefined) {
    return 0;
  }
  const line = forecast.lines.find((one) => one.team === team && one.priority === priority);
  const waitMs = line === undefined ? 0 : waitInLine(line, dueInMs + ageMs);
  return Math.max(forecast.withinRateMs, waitMs) - ageMs;
};

/** Returns how long the part of the free room that this node's callers get works on a newcomer. */
const returnGapMs = (pool: PoolAdmission, { work }: Newcomer, view: AdmissionView): number => {
  const { offeredPerS, offeredHerePerS } = view;
  const share = Math.min(1, offeredHerePerS / Math.max(offeredPerS ?? 0, 1));
  const workMs = RESOURCE_NAMES.map(
    (resource) => work[resource] / (pool[resource]?.freeUnits ?? Infinity),
  );
  return Math.max(...workMs) / Math.max(share, ROOM.MIN_SHARE);
};

/**
 * Decides whether a newcomer is admitted. It is refused if it is beyond its team's rate and all that
 * its pool may get through before its start is of no use any more is already waiting before it. One
 * within its team's rate is always admitted: it goes before the work that is beyond the rates, and
 * before work that is late.
 *
 * @param view - The figures that apply to it; null if there are none or they are too old.
 */
export const decideAdmission = (
  newcomer: Newcomer,
  view: AdmissionView | null,
): AdmissionDecision => {
  const pool = view?.pool ?? null;
  if (view === null || pool === null || view.ageMs > ADMISSION.MAX_AGE_MS) {
    return ADMIT;
  }
  if (isWithinRate(newcomer, view)) {
    return ADMIT;
  }
  const waitMs = Math.max(
    0,
    ...RESOURCE_NAMES.filter((resource) => newcomer.work[resource] > 0).map((resource) =>
      waitFor(pool, resource, newcomer, view.ageMs),
    ),
  );
  const leastWaitMs = newcomer.inReturnSlot ? waitMs / ROOM.RETURN_FACTOR : waitMs;
  return leastWaitMs > newcomer.usefulForMs
    ? {
        result: ADMISSION_RESULT.REFUSE,
        waitMs,
        usefulForMs: newcomer.usefulForMs,
        returnGapMs: returnGapMs(pool, newcomer, view),
      }
    : ADMIT;
};
