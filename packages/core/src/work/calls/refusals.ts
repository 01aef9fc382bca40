import { assertNever, fractionOfText, type PoolId, type TeamId } from "@heatherferry/common";
import {
  addOffered,
  ADMISSION_RESULT,
  countRefusal,
  decideAdmission,
  drawOf,
  isReturnSlot,
  noteRefused,
  offeredOf,
  overloadReturn,
  REFUSAL_REASON,
  takeLogLine,
  takeRefused,
  type Newcomer,
} from "../admission/index.js";
import { ANSWER_KIND, HELD, ORDERING } from "../constants.js";
import type { OpenCall, WorkloadState } from "../state.js";
import { workOfItems } from "../placement/poolAverages.js";
import { criticalPathsMs } from "../submissions/criticalPaths.js";
import { heldFigures } from "../submissions/heldSubmissions.js";
import { logLine, roundedMs, type Turn } from "../turn.js";
import type { AdmissionFigures, Queue, SubmissionId, SubmissionRow, Team } from "../types.js";
import { answerCall } from "./callAnswers.js";
import { limitExceededBy } from "./submissionLimits.js";

/** Why a submission is refused because of the line before it, with the figures behind it. */
export interface OverloadRefusal {
  readonly type: "overload";
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly waitMs: number;
  readonly usefulForMs: number;
  /** Time after which the pool may take another one that this node refuses. */
  readonly returnGapMs: number;
  readonly figuresAgeMs: number;
}

/** Refusal of a submission that the owner has no memory for. */
export interface MemoryRefusal {
  readonly type: "memory";
  readonly team: TeamId | null;
}

/** Why a submission is refused that the node could store. */
export type Refusal = OverloadRefusal | MemoryRefusal;

/** Published figures, and their age. */
interface DatedFigures {
  readonly figures: AdmissionFigures;
  readonly ageMs: number;
}

/** Whether a write of a submission may still take effect that a call here waits for. */
export const hasOpenWrite = ({ calls }: WorkloadState, id: SubmissionId): boolean => {
  for (const call of calls.values()) {
    if (call.id === id && call.row !== null && call.commit !== null) {
      return true;
    }
  }
  return false;
};

/** Returns the present time on the store's clock; null if it is not known. */
const storeNowMs = ({ work, nowMs }: Turn): number | null => {
  const { viewAtMs, viewStoreMs } = work.owned === null ? work.ownerView : work.feeds.handIns;
  return viewAtMs === null || viewStoreMs === null ? null : viewStoreMs + nowMs - viewAtMs;
};

const datedFigures = (turn: Turn): DatedFigures | null => {
  const { owned, ownerView, admission } = turn.work;
  const own = admission.owner?.fence === owned?.fence ? admission.owner?.figures : null;
  const figures = (owned === null ? ownerView.row?.admission : own) ?? null;
  const storeMs = storeNowMs(turn);
  return figures === null || storeMs === null || storeMs < figures.asOfStoreMs
    ? null
    : { figures, ageMs: storeMs - figures.asOfStoreMs };
};

const newcomerOf = (row: SubmissionRow, queue: Queue, team: Team, storeMs: number): Newcomer => {
  const pathMs = Math.max(0, ...criticalPathsMs(row.work));
  const dueInMs = queue.stretchFactor * pathMs + queue.targetDurationMs;
  return {
    team: team.id,
    rate: team.weight,
    priority: queue.priority,
    work: workOfItems(row.work.steps.map((spec) => ({ spec, count: spec.count }))),
    dueInMs,
    usefulForMs: ORDERING.EXPIRY_FACTOR * dueInMs - pathMs,
    draw: drawOf(row.id, storeMs),
    inReturnSlot: isReturnSlot(row.id, storeMs),
  };
};

/** Whether a submission runs once, at once, and ends by itself. */
const isBatch = ({ work }: SubmissionRow): boolean =>
  work.occurrences === 0 && work.steps.every(({ lasting }) => !lasting);

/**
 * Decides whether a submission is refused because it would wait in line until its result is of no
 * use. The first of a team's submissions to be refused are those beyond its rate.
 *
 * @returns Why it is refused; null if it is admitted.
 */
export const overloadRefusal = (
  turn: Turn,
  row: SubmissionRow,
  queue: Queue,
  team: Team | null,
): OverloadRefusal | null => {
  if (team === null) {
    return null;
  }
  const { nowMs, work } = turn;
  const offeredHere = offeredOf(work.admission, team.id, nowMs);
  addOffered(offeredHere, 1, nowMs);
  const dated = datedFigures(turn);
  if (dated === null || !isBatch(row)) {
    return null;
  }
  const { figures, ageMs } = dated;
  const newcomer = newcomerOf(row, queue, team, figures.asOfStoreMs + ageMs);
  const decision = decideAdmission(newcomer, {
    ageMs,
    pool: figures.pools[row.pool] ?? null,
    offeredPerS: figures.offeredPerS[team.id] ?? null,
    offeredHerePerS: offeredHere.perS,
  });
  if (decision.result === ADMISSION_RESULT.ADMIT) {
    return null;
  }
  const { waitMs, usefulForMs, returnGapMs } = decision;
  return {
    type: "overload",
    pool: row.pool,
    team: team.id,
    waitMs,
    usefulForMs,
    returnGapMs,
    figuresAgeMs: ageMs,
  };
};

/**
 * Decides whether a submission is refused because the owner would have no memory for it. It is
 * decided by the owner's last row also while that is old, since the submissions are still there.
 *
 * @returns Why it is refused; null if it is admitted.
 */
export const memoryRefusal = ({ work }: Turn, { team }: SubmissionRow): MemoryRefusal | null => {
  const { owned, ownerView } = work;
  const figures = owned === null ? ownerView.row?.held : heldFigures(work, owned);
  return figures?.teams.includes(team) === true ? { type: "memory", team } : null;
};

/** Adds to a submission that is accepted which others were refused here before. */
export const withRefusedBefore = ({ work, nowMs }: Turn, row: SubmissionRow): SubmissionRow => {
  if (work.admission.refused.size === 0) {
    return row;
  }
  const refused = takeRefused(work.admission, nowMs);
  const withRefused = { ...row, refusedBefore: refused };
  return limitExceededBy(withRefused) === null ? withRefused : row;
};

/** Counts a refused submission, and logs some of them. */
const recordRefused = (
  turn: Turn,
  { id }: OpenCall,
  team: TeamId | null,
  fields: Record<string, string | number | null>,
): void => {
  const { admission } = turn.work;
  if (id !== null) {
    noteRefused(admission, id, team, turn.nowMs);
  }
  const leftOut = takeLogLine(admission, turn.nowMs);
  if (leftOut !== null) {
    logLine(turn, "info", "call.refused", { submission: id, team, ...fields, leftOut });
  }
};

/** Returns when a caller may come back that was refused for want of memory: spread by its id. */
const memoryReturnMs = (id: string): number =>
  HELD.MIN_RETURN_MS + fractionOfText(id) * (HELD.MAX_RETURN_MS - HELD.MIN_RETURN_MS);

const answerNoMemory = (turn: Turn, call: OpenCall, refusal: MemoryRefusal): void => {
  const delayMs = memoryReturnMs(call.id ?? "");
  countRefusal(turn.work.admission, REFUSAL_REASON.MEMORY);
  recordRefused(turn, call, null, {
    reason: refusal.type,
    team: refusal.team,
    retryAfterMs: roundedMs(delayMs),
  });
  const problem = "the system holds as many submissions as it can; some must end first";
  const { callId } = call.arrival;
  answerCall(turn, { callId, kind: ANSWER_KIND.UNAVAILABLE, retryAfterMs: delayMs, problem });
};

const answerOverload = (turn: Turn, call: OpenCall, refusal: OverloadRefusal): void => {
  const { work, nowMs } = turn;
  const { admission } = work;
  const { team, waitMs, usefulForMs, returnGapMs } = refusal;
  const { delayMs, queuedUntilMs } = overloadReturn(
    {
      id: call.id ?? "",
      earliestMs: nowMs + Math.max(0, waitMs - usefulForMs),
      nowMs,
      storeMs: storeNowMs(turn),
    },
    admission.queuedUntilMs.get(team) ?? nowMs,
    returnGapMs,
  );
  admission.queuedUntilMs.set(team, queuedUntilMs);
  countRefusal(admission, REFUSAL_REASON.OVERLOAD);
  recordRefused(turn, call, team, {
    pool: refusal.pool,
    waitMs: roundedMs(waitMs),
    usefulForMs: roundedMs(usefulForMs),
    figuresAgeMs: roundedMs(refusal.figuresAgeMs),
    retryAfterMs: roundedMs(delayMs),
  });
  const problem = "the team is beyond its rate, and this would wait until it is of no use";
  const { callId } = call.arrival;
  answerCall(turn, { callId, kind: ANSWER_KIND.UNAVAILABLE, retryAfterMs: delayMs, problem });
};

/** Answers that a submission was not accepted, and when the caller may return. */
export const answerRefused = (turn: Turn, call: OpenCall, refusal: Refusal): void => {
  switch (refusal.type) {
    case "overload":
      answerOverload(turn, call, refusal);
      break;
    case "memory":
      answerNoMemory(turn, call, refusal);
      break;
    default:
      assertNever(refusal);
  }
};
