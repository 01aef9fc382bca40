import type { PoolId } from "@heatherferry/common";
import { hostCapacity } from "../hosts/arrivals.js";
import { PLACEMENT, STORE } from "../constants.js";
import { mayStartRuns } from "../ownership/ownershipConfirmation.js";
import { poolOf } from "../hosts/pools.js";
import { nearsCeiling } from "./placement.js";
import {
  newPlacementPass,
  placeItems,
  SHORTAGE,
  type PlacementPass,
  type Shortage,
} from "./placementPass.js";
import type { OwnedWork, PoolWork, Submission } from "../state.js";
import { poolOfSubmission } from "../submissions/submissionStates.js";
import type { Turn } from "../turn.js";
import { BacklogPass } from "./backlog.js";

/**
 * Counts a submission that was held back by its team's resource ceiling.
 *
 * A team that is far from its ceiling only exceeds it by single large items. Its other work must
 * not wait for these, so more submissions are tried before the rest is left out of the pass.
 *
 * @returns Whether the rest of the team's backlog is left out of the pass.
 */
const skipsRestOfTeam = (
  turn: Turn,
  owned: OwnedWork,
  { atCeiling }: PlacementPass,
  { row }: Submission,
): boolean => {
  const times = (atCeiling.get(row.team) ?? 0) + 1;
  atCeiling.set(row.team, times);
  const near = nearsCeiling(turn, owned, row.team);
  return times >= (near ? PLACEMENT.MAX_CAPPED : PLACEMENT.MAX_CAPPED_BELOW_CEILING);
};

/**
 * Places the ready items of a submission of a pool's backlog, or moves it to the backlog of another
 * pool that its queue belongs to now.
 *
 * @returns Why some of its items were not placed.
 */
const placeSubmission = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  submission: Submission,
): Shortage => {
  const to = poolOfSubmission(turn, submission.row);
  if (to === pass.pool.id) {
    return placeItems(turn, owned, pass, submission);
  }
  moveToPool(owned, submission, to);
  return SHORTAGE.NONE;
};

/** Limits of a part of a placement pass. */
interface PassLimits {
  readonly isFull: () => boolean;
  /** Fruitless checks of the pass at which this part ends. */
  readonly maxFruitlessChecks: number;
  readonly maxSubmissions: number;
}

/**
 * Places submissions in the order of the backlog.
 *
 * @returns How many submissions were tried, and whether others were left out.
 */
const placeInOrder = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  { isFull, maxFruitlessChecks, maxSubmissions }: PassLimits,
): { tried: number; leftOut: boolean } => {
  const backlogPass = new BacklogPass(pass.pool.backlog);
  let tried = 0;
  let submission = backlogPass.next();
  while (
    submission !== null &&
    !isFull() &&
    pass.fruitlessChecks < maxFruitlessChecks &&
    tried < maxSubmissions
  ) {
    tried += 1;
    const shortage = placeSubmission(turn, owned, pass, submission);
    if (shortage === SHORTAGE.CEILING && skipsRestOfTeam(turn, owned, pass, submission)) {
      backlogPass.skipTeam();
    }
    submission = backlogPass.next();
  }
  backlogPass.end();
  return { tried, leftOut: submission !== null || backlogPass.hasSkipped };
};

/**
 * Places submissions that passes before this one have left out. Without it, submissions at the head
 * of the backlog that use up each pass in vain would keep all others from ever starting.
 */
const placeLeftOut = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacementPass,
  { isFull, maxFruitlessChecks, maxSubmissions }: PassLimits,
): void => {
  for (const submission of pass.pool.backlog.takeUntried(maxSubmissions)) {
    if (isFull() || pass.fruitlessChecks >= maxFruitlessChecks) {
      pass.pool.backlog.markUntried(submission);
    } else {
      placeSubmission(turn, owned, pass, submission);
    }
  }
};

/**
 * Makes one placement pass over the backlog of a pool: in its order first, then over submissions
 * that were left out before. The number of starts, searches and submissions of a pass is limited; a
 * later pass handles the rest.
 */
const placeInPool = (turn: Turn, owned: OwnedWork, pool: PoolWork, maxStarts: number): void => {
  const startsBefore = owned.plannedStarts.length;
  const isFull = (): boolean => owned.plannedStarts.length - startsBefore >= maxStarts;
  pool.dirty = false;
  pool.backlog.refresh(turn, hostCapacity(pool), owned.fleet);
  const pass = newPlacementPass(pool);
  const { tried, leftOut } = placeInOrder(turn, owned, pass, {
    isFull,
    maxFruitlessChecks: PLACEMENT.MAX_FRUITLESS_CHECKS,
    maxSubmissions: PLACEMENT.MAX_SUBMISSIONS,
  });
  if (leftOut) {
    placeLeftOut(turn, owned, pass, {
      isFull,
      maxFruitlessChecks: pass.fruitlessChecks + PLACEMENT.MAX_FRUITLESS_CHECKS_LEFT_OUT,
      maxSubmissions: PLACEMENT.MAX_SUBMISSIONS_LEFT_OUT,
    });
  }
  const planned = owned.plannedStarts.length > startsBefore;
  pool.dirty = isFull() || (planned && tried >= PLACEMENT.MAX_SUBMISSIONS);
};

/** Moves a waiting submission to the backlog of the pool that its queue now belongs to. */
const moveToPool = (owned: OwnedWork, submission: Submission, to: PoolId): void => {
  const pool = poolOf(owned, to);
  pool.backlog.add(submission);
  pool.dirty = true;
};

const poolsToPlaceIn = (owned: OwnedWork): PoolWork[] =>
  [...owned.pools.values()].filter((pool) => pool.dirty && pool.backlog.needsPass);

/** Whether a pool with a backlog has changed since its last placement pass. */
export const hasWorkToPlace = (owned: OwnedWork): boolean => poolsToPlaceIn(owned).length > 0;

/**
 * Plans starts of waiting work in every pool that has changed. The number of starts that may wait
 * for the next owner commit is divided equally among these pools.
 */
export const dispatch = (turn: Turn, owned: OwnedWork): void => {
  const pools = poolsToPlaceIn(owned);
  const left = STORE.MAX_PLANNED_STARTS - owned.plannedStarts.length;
  if (left <= 0 || !mayStartRuns(turn, owned)) {
    return;
  }
  for (const pool of pools) {
    placeInPool(turn, owned, pool, Math.ceil(left / pools.length));
  }
};

/**
 * Marks all pools with a backlog for another placement pass, because suspensions of workers may
 * have ended and teams may be below their resource ceilings again.
 */
export const markBacklogsChanged = (owned: OwnedWork): void => {
  for (const pool of owned.pools.values()) {
    pool.dirty ||= pool.backlog.needsPass;
  }
};
