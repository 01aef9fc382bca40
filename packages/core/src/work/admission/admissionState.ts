import type { PoolId, TeamId } from "@heatherferry/common";
import type { AdmissionFigures, Fence, RefusedCall, SubmissionId } from "../types.js";
import type { TokenBucket } from "../placement/tokenBucket.js";
import { newAverages } from "./averages.js";
import { ADMISSION, REFUSAL_LOG } from "./constants.js";
import type {
  OfferedRate,
  PoolAverages,
  RefusalCounts,
  RefusalReason,
  RememberedRefusal,
  StoreOutage,
  UntoldRefusal,
} from "./types.js";

/** What an owner records of the pools, from the acquisition of ownership on. */
export interface OwnerRecords {
  readonly fence: Fence;
  readonly averages: Map<PoolId, PoolAverages>;
  readonly offered: Map<TeamId, OfferedRate>;
  /** Submissions that nodes refused, those told first at the beginning. */
  readonly refused: Map<SubmissionId, RememberedRefusal>;
  /** Buckets for submissions that return after an outage of the store. */
  readonly returnBuckets: Map<TeamId, TokenBucket>;
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
  /** Submissions that this node refused and that no row has told of. */
  readonly refused: Map<SubmissionId, UntoldRefusal>;
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
  refused: new Map(),
  queuedUntilMs: new Map(),
  outage: null,
  longestAnswerMs: 0,
  refusals: {
    byReason: { overload: 0, unavailable: 0, memory: 0 },
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
      refused: new Map(),
      returnBuckets: new Map(),
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

/**
 * Notes a submission that this node refuses, so that the next accepted one tells.
 *
 * @param beyondRateOf - The team whose rate it exceeds; null if it could not be stored.
 */
export const noteRefused = (
  { refused }: AdmissionState,
  id: SubmissionId,
  beyondRateOf: TeamId | null,
  nowMs: number,
): void => {
  const atMs = refused.get(id)?.atMs ?? nowMs;
  refused.set(id, { atMs, beyondRateOf });
  limitSize(refused, ADMISSION.MAX_REFUSED_PER_NODE);
};

/** Takes submissions that this node refused, for the row of one that it accepts. */
export const takeRefused = (
  { refused }: AdmissionState,
  nowMs: number,
): Readonly<Record<SubmissionId, RefusedCall>> => {
  const taken = [...refused].slice(0, ADMISSION.MAX_REFUSED_PER_ROW);
  return Object.fromEntries(
    taken.map(([id, { atMs, beyondRateOf }]) => {
      refused.delete(id);
      const agoMs = Math.round(nowMs - atMs);
      return [id, beyondRateOf === null ? { agoMs } : { agoMs, beyondRateOf }];
    }),
  );
};

/**
 * Has the owner remember submissions that a node refused, with the time of their first refusal.
 *
 * @param toldWallMs - When the node told of them.
 */
export const rememberRefused = (
  records: OwnerRecords,
  refused: Readonly<Record<SubmissionId, RefusedCall>>,
  toldWallMs: number,
): void => {
  for (const [name, { agoMs, beyondRateOf }] of Object.entries(refused)) {
    const id = name as SubmissionId;
    const before = records.refused.get(id);
    records.refused.set(id, {
      firstWallMs: Math.min(before?.firstWallMs ?? Infinity, toldWallMs - agoMs),
      wasBeyondRate: before?.wasBeyondRate === true || beyondRateOf !== undefined,
    });
  }
  limitSize(records.refused, ADMISSION.MAX_REFUSED);
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
