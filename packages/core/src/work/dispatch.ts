import type { PoolId, TeamId, ValueOf } from "@heatherferry/common";
import { hostRoom } from "./arrivals.js";
import { PLACING, STORE } from "./constants.js";
import { lookedAt } from "./effort.js";
import { planGang } from "./gangs.js";
import { hearsHandIns, isSure } from "./certainty.js";
import { poolOf } from "./pools.js";
import { findRoom, keepRoom, keptPlace } from "./places.js";
import { nearsCeiling, withinCeiling } from "./placement.js";
import { RESOURCES, roomOf, withdrawRoom } from "./room.js";
import { nextRunNumber, planStart } from "./starts.js";
import type { Item, OwnedWork, PoolWork, Submission, Worker } from "./state.js";
import { poolOfSubmission } from "./submissions.js";
import type { Turn } from "./turn.js";
import type { Resources, StepSpec } from "./types.js";
import { BacklogPass } from "./backlog.js";

/** What a pass over a pool's waiting work has found out so far. */
interface PlacingPass {
  readonly pool: PoolWork;
  /** Room that no worker has, whatever else an item asks for; it only grows less in a pass. */
  readonly tooMuch: Resources[];
  /** The same for what comes free when work ends. */
  readonly tooMuchLater: Resources[];
  /** Workers that were looked at by searches that found none. */
  inVain: number;
  /** Submissions that have met the ceiling of their team, by team. */
  readonly capped: Map<TeamId | null, number>;
}

/** Why some items of a submission were not placed. */
const SHORTAGE = {
  NONE: "none",
  ROOM: "room",
  CEILING: "ceiling",
} as const;

type Shortage = ValueOf<typeof SHORTAGE>;

const fitsNowhere = (tooMuch: readonly Resources[], spec: StepSpec): boolean => {
  const room = roomOf(spec);
  return tooMuch.some((missing) =>
    RESOURCES.every((resource) => room[resource] >= missing[resource]),
  );
};

/** @returns The worker to start an item on now, or null where it has to wait. */
const findPlace = (turn: Turn, owned: OwnedWork, pass: PlacingPass, item: Item): Worker | null => {
  const kept = keptPlace(turn, owned, item);
  if (kept !== null || fitsNowhere(pass.tooMuch, item.spec)) {
    return kept;
  }
  const { worker, fits, lookedAt: searched } = findRoom(turn, owned, pass.pool, item);
  pass.inVain += worker === null ? searched : 0;
  if (!fits) {
    pass.tooMuch.push(roomOf(item.spec));
  }
  return worker;
};

/** Plans a start where there is room; for work that lasts, what comes free later is kept. */
const placeItem = (turn: Turn, owned: OwnedWork, pass: PlacingPass, item: Item): boolean => {
  const { spec } = item;
  const worker = findPlace(turn, owned, pass, item);
  if (worker !== null) {
    planStart(turn, owned, worker, item, nextRunNumber(owned, item));
    return true;
  }
  const keeps = spec.lasting && item.place === null && !fitsNowhere(pass.tooMuchLater, spec);
  if (keeps && !keepRoom(turn, owned, pass.pool, item) && spec.maxPerWorker === null) {
    pass.tooMuchLater.push(roomOf(spec));
  }
  return false;
};

/** Steps of a submission that wait on, whatever else of it is placed. */
interface ClosedSteps {
  /** No worker has room now. */
  readonly full: Set<string>;
  /** Nor will one have it, for work that lasts. */
  readonly fullLater: Set<string>;
  /** Its team has reached its ceiling. */
  readonly capped: Set<string>;
  /** Gangs that were tried. */
  readonly gangs: Set<string>;
}

const placeOrClose = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacingPass,
  closed: ClosedSteps,
  item: Item,
): void => {
  const step = `${item.occurrence}.${item.step}`;
  if (item.spec.gang) {
    if (!closed.gangs.has(step) && !planGang(turn, owned, pass.pool, item)) {
      closed.full.add(step);
    }
    closed.gangs.add(step);
  } else if (owned.heldItems.has(item.key)) {
    withdrawRoom(owned, item);
  } else if (closed.capped.has(step) || !withinCeiling(turn, owned, item.submission, item.spec)) {
    withdrawRoom(owned, item);
    closed.capped.add(step);
  } else {
    const full = item.spec.lasting ? closed.fullLater : closed.full;
    if ((item.place !== null || !full.has(step)) && !placeItem(turn, owned, pass, item)) {
      closed.full.add(step);
      if (item.place === null) {
        closed.fullLater.add(step);
      }
    }
  }
};

/** @returns Whether all steps of short work are closed, so that its other items need no look. */
const allClosed = (submission: Submission, item: Item, { full, capped }: ClosedSteps): boolean => {
  if (item.spec.lasting || item.spec.gang || submission.occurrences.size > 1) {
    return false;
  }
  const steps = submission.readyInStep.reduce((sum, ready) => sum + (ready > 0 ? 1 : 0), 0);
  return full.size + capped.size >= steps;
};

const placeItems = (
  turn: Turn,
  owned: OwnedWork,
  pass: PlacingPass,
  submission: Submission,
): Shortage => {
  const closed: ClosedSteps = {
    full: new Set(),
    fullLater: new Set(),
    capped: new Set(),
    gangs: new Set(),
  };
  for (const item of submission.ready) {
    lookedAt(turn, 1);
    placeOrClose(turn, owned, pass, closed, item);
    if (allClosed(submission, item, closed)) {
      break;
    }
  }
  if (closed.full.size > 0) {
    return SHORTAGE.ROOM;
  }
  return closed.capped.size > 0 ? SHORTAGE.CEILING : SHORTAGE.NONE;
};

/**
 * A team that is far from its ceiling meets it by single items alone, which its other work must not
 * wait for.
 *
 * @returns Whether a team has met its ceiling so often in a pass that the rest has to wait too.
 */
const isCapped = (
  turn: Turn,
  owned: OwnedWork,
  { capped }: PlacingPass,
  { handIn }: Submission,
): boolean => {
  const times = (capped.get(handIn.team) ?? 0) + 1;
  capped.set(handIn.team, times);
  const near = nearsCeiling(turn, owned, handIn.team);
  return times >= (near ? PLACING.MOST_CAPPED : PLACING.MOST_CAPPED_FAR);
};

/**
 * Places what waits in a pool, the first in line first. A pass is bounded: what it leaves goes on
 * in the next one.
 */
const placeInPool = (turn: Turn, owned: OwnedWork, pool: PoolWork, mostStarts: number): void => {
  const startsBefore = owned.plannedStarts.length;
  const isFull = (): boolean => owned.plannedStarts.length - startsBefore >= mostStarts;
  pool.dirty = false;
  pool.waiting.refresh(turn, hostRoom(pool));
  const pass: PlacingPass = {
    pool,
    tooMuch: [],
    tooMuchLater: [],
    inVain: 0,
    capped: new Map(),
  };
  const backlogPass = new BacklogPass(pool.waiting);
  let tried = 0;
  let submission = backlogPass.next();
  while (
    submission !== null &&
    !isFull() &&
    pass.inVain < PLACING.MOST_IN_VAIN &&
    tried < PLACING.MOST_TRIED
  ) {
    tried += 1;
    const to = poolOfSubmission(turn, submission.handIn);
    if (to === pool.id) {
      const shortage = placeItems(turn, owned, pass, submission);
      if (shortage === SHORTAGE.CEILING && isCapped(turn, owned, pass, submission)) {
        backlogPass.skipTeam();
      }
    } else {
      moveWaiting(owned, submission, to);
    }
    submission = backlogPass.next();
  }
  backlogPass.end();
  pool.dirty = isFull() || tried >= PLACING.MOST_TRIED;
};

const moveWaiting = (owned: OwnedWork, submission: Submission, to: PoolId): void => {
  const pool = poolOf(owned, to);
  pool.waiting.add(submission);
  pool.dirty = true;
};

const poolsToPlaceIn = (owned: OwnedWork): PoolWork[] =>
  [...owned.pools.values()].filter((pool) => pool.dirty && pool.waiting.size > 0);

/** @returns Whether something changed where work waits. */
export const mayPlace = (owned: OwnedWork): boolean => poolsToPlaceIn(owned).length > 0;

/**
 * Plans starts of what waits and finds room, in every pool where something changed. Each of them
 * gets its part of the starts that may wait for the next write.
 */
export const dispatch = (turn: Turn, owned: OwnedWork): void => {
  const pools = poolsToPlaceIn(owned);
  const left = STORE.MAX_PLANNED_STARTS - owned.plannedStarts.length;
  if (left <= 0 || !isSure(turn, owned) || !hearsHandIns(turn)) {
    return;
  }
  for (const pool of pools) {
    placeInPool(turn, owned, pool, Math.ceil(left / pools.length));
  }
};

/** Marks pools with work that waits: workers rest no longer, ceilings have room again. */
export const recheckPools = (owned: OwnedWork): void => {
  for (const pool of owned.pools.values()) {
    pool.dirty ||= pool.waiting.size > 0;
  }
};
