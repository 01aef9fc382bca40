import type { PoolId, TeamId } from "@heatherferry/common";
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
import { ANSWER_KIND, ORDERING } from "../constants.js";
import type { OpenCall, WorkloadState } from "../state.js";
import { workOfItems } from "../placement/poolAverages.js";
import { criticalPathsMs } from "../submissions/criticalPaths.js";
import { logLine, roundedMs, type Turn } from "../turn.js";
import type { AdmissionFigures, Queue, SubmissionId, SubmissionRow, Team } from "../types.js";
import { answerCall } from "./callAnswers.js";
import { limitExceededBy } from "./submissionLimits.js";

/** Why a submission is refused, with the figures behind it. */
export interface Refusal {
  readonly pool: PoolId;
  readonly team: TeamId;
  readonly waitMs: number;
  readonly usefulForMs: number;
  /** Time after which the pool may take another one that this node refuses. */
  readonly returnGapMs: number;
  readonly figuresAgeMs: number;
}

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
): Refusal | null => {
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
    pool: row.pool,
    team: team.id,
    waitMs,
    usefulForMs,
    returnGapMs,
    figuresAgeMs: ageMs,
  };
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

/** Answers that a submission was not accepted, and when the caller may return. */
export const answerRefused = (turn: Turn, call: OpenCall, refusal: Refusal): void => {
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
  if (call.id !== null) {
    noteRefused(admission, call.id, team, nowMs);
  }
  const leftOut = takeLogLine(admission, nowMs);
  if (leftOut !== null) {
    logLine(turn, "info", "call.refused", {
      submission: call.id,
      pool: refusal.pool,
      team,
      waitMs: roundedMs(waitMs),
      usefulForMs: roundedMs(usefulForMs),
      figuresAgeMs: roundedMs(refusal.figuresAgeMs),
      retryAfterMs: roundedMs(delayMs),
      leftOut,
    });
  }
  const problem = "the team is beyond its rate, and this would wait until it is of no use";
  const { callId } = call.arrival;
  answerCall(turn, { callId, kind: ANSWER_KIND.UNAVAILABLE, retryAfterMs: delayMs, problem });
};
