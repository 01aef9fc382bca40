import type { PoolId, TeamId } from "@heatherferry/common";
import type { AdmissionFigures, Fence, SubmissionId } from "../types.js";
import { newAverages } from "./averages.js";
import { ADMISSION, REFUSAL_LOG } from "./constants.js";
import type {
  OfferedRate,
  PoolAverages,
  RefusalCounts,
  RefusalReason,
  StoreOutage,
} from "./types.js";

/** What an owner records of the pools, from the acquisition of ownership on. */
export interface OwnerRecords {
  readonly fence: Fence;
  readonly averages: Map<PoolId, PoolAverages>;
  readonly offered: Map<TeamId, OfferedRate>;
  /** When submissions were refused first, oldest first. */
  readonly refusedAtWallMs: Map<SubmissionId, number>;
  /** The newest figures; null if no pool has a long line. */
  figures: AdmissionFigures | null;
  computedAtMs: number;
}

/** State of a node's admission control. */
export interface AdmissionState {
  /** Null until this node has been the owner. */
  owner: OwnerRecords | null;
  /** Rates at which this node gets submissions of each team. */
  readonly offered: Map<TeamId, OfferedRate>;
  /** Submissions that this node refused and has told no owner of, by team, and when. */
  readonly refusedOfTeam: Map<TeamId, Map<SubmissionId, number>>;
  /** When callers of each team return next, as refused by this node because of overload. */
  readonly queuedUntilMs: Map<TeamId, number>;
  outage: StoreOutage | null;
  /** Longest recent answer time of the store to polls of the owner row. */
  longestAnswerMs: number;
  readonly refusals: RefusalCounts;
}

export const newAdmissionState = (): AdmissionState => ({
  owner: null,
  offered: new Map(),
  refusedOfTeam: new Map(),
  queuedUntilMs: new Map(),
  outage: null,
  longestAnswerMs: 0,
  refusals: {
    byReason: { overload: 0, unavailable: 0 },
    logIntervalStartedAtMs: -Infinity,
    linesInInterval: 0,
    linesLeftOut: 0,
  },
});

/** Returns the records of the present ownership. */
export const ownerRecords = (state: AdmissionState, fence: Fence): OwnerRecords => {
  if (state.owner?.fence !== fence) {
    state.owner = {
      fence,
      averages: new Map(),
      offered: new Map(),
      refusedAtWallMs: new Map(),
      figures: null,
      computedAtMs: -Infinity,
    };
  }
  return state.owner;
};

/** Returns the averages of a pool, which are created on first use. */
export const averagesOf = (records: OwnerRecords, pool: PoolId, nowMs: number): PoolAverages => {
  let averages = records.averages.get(pool);
  if (averages === undefined) {
    averages = newAverages(nowMs);
    records.averages.set(pool, averages);
  }
  return averages;
};

/** Returns the rate of a team, which is created on first use. */
export const offeredOf = (
  { offered }: Pick<OwnerRecords, "offered">,
  team: TeamId,
  nowMs: number,
): OfferedRate => {
  let rate = offered.get(team);
  if (rate === undefined) {
    rate = { perS: 0, atMs: nowMs };
    offered.set(team, rate);
  }
  return rate;
};

/** Drops the oldest entries of a map beyond a number. */
const limitSize = (map: Map<unknown, unknown>, most: number): void => {
  for (const key of map.keys()) {
    if (map.size <= most) {
      return;
    }
    map.delete(key);
  }
};

/** Notes a submission that this node refuses, so that the next accepted one of its team tells. */
export const noteRefused = (
  { refusedOfTeam }: AdmissionState,
  team: TeamId,
  id: SubmissionId,
  nowMs: number,
): void => {
  const refused = refusedOfTeam.get(team) ?? new Map<SubmissionId, number>();
  refusedOfTeam.set(team, refused);
  if (!refused.has(id)) {
    refused.set(id, nowMs);
    limitSize(refused, ADMISSION.MAX_REFUSED_PER_TEAM);
  }
};

/** Takes submissions of a team that this node refused, with the time since then in ms. */
export const takeRefused = (
  { refusedOfTeam }: AdmissionState,
  team: TeamId,
  nowMs: number,
): Readonly<Record<SubmissionId, number>> => {
  const refused = refusedOfTeam.get(team) ?? new Map<SubmissionId, number>();
  const taken = [...refused].slice(0, ADMISSION.MAX_REFUSED_PER_ROW);
  taken.forEach(([id]) => refused.delete(id));
  return Object.fromEntries(taken.map(([id, atMs]) => [id, Math.round(nowMs - atMs)]));
};

/** Has the owner remember when submissions were refused for the first time. */
export const rememberRefused = (
  { refusedAtWallMs }: OwnerRecords,
  refused: Readonly<Record<SubmissionId, number>>,
  untilWallMs: number,
): void => {
  for (const [id, agoMs] of Object.entries(refused)) {
    if (!refusedAtWallMs.has(id as SubmissionId)) {
      refusedAtWallMs.set(id as SubmissionId, untilWallMs - agoMs);
    }
  }
  limitSize(refusedAtWallMs, ADMISSION.MAX_REFUSED);
};

export const countRefusal = ({ refusals }: AdmissionState, reason: RefusalReason): void => {
  refusals.byReason[reason] += 1;
};

/**
 * Takes a log line for a refusal.
 *
 * @returns How many refusals were not logged since the last line; null if this one is not logged.
 */
export const takeLogLine = ({ refusals }: AdmissionState, nowMs: number): number | null => {
  if (nowMs - refusals.logIntervalStartedAtMs >= REFUSAL_LOG.INTERVAL_MS) {
    refusals.logIntervalStartedAtMs = nowMs;
    refusals.linesInInterval = 0;
  }
  if (refusals.linesInInterval >= REFUSAL_LOG.MAX_LINES) {
    refusals.linesLeftOut += 1;
    return null;
  }
  refusals.linesInInterval += 1;
  const leftOut = refusals.linesLeftOut;
  refusals.linesLeftOut = 0;
  return leftOut;
};
