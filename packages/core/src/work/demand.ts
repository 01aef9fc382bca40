import type { PoolId } from "@heatherferry/common";
import { arrivingHosts, hostRoom, shareOf } from "./arrivals.js";
import { LENDING } from "./constants.js";
import { isReplaced } from "./hostWorkers.js";
import { withinCeiling } from "./placement.js";
import { roomOf } from "./runs.js";
import type { OwnedWork, PoolWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import type { Resources } from "./types.js";

/** What a pool asks for and has, counted in hosts by whichever resource is scarcest. */
export interface Demand {
  readonly pool: PoolWork;
  readonly openWorkers: readonly Worker[];
  /** Hosts that running work which ends keeps busy. */
  readonly runningHosts: number;
  /** Hosts that would work off in time what waits for room. */
  readonly waitingHosts: number;
  /** Hosts that work keeps busy which arrives at the present rate. */
  readonly arrivingHosts: number;
  /** Workers that a step with a bound a worker still misses. */
  readonly spreadShort: number;
  /** Hosts that its workers are for work that ends, with hosts on their way. */
  readonly hosts: number;
  readonly comingHosts: number;
}

const comingHosts = (owned: OwnedWork, pool: PoolId): number => {
  let count = 0;
  for (const move of owned.moves.values()) {
    if (move.to === pool) {
      count += 1;
    }
  }
  return count;
};

/**
 * A worker that came just now is about to answer; one that has not after that is gone, and its
 * entry is left over.
 */
const answers = (turn: Turn, worker: Worker): boolean =>
  worker.fenced ? !worker.unreachable : turn.nowMs - worker.enlistedAtMs < LENDING.FIRST_ANSWER_MS;

/** @returns Whether a worker may get work now and later. */
export const isOpen = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  worker.listed &&
  !worker.departed &&
  !isReplaced(owned, worker) &&
  !worker.report.draining &&
  worker.reservedFor === null &&
  answers(turn, worker);

const sharesOn = (worker: Worker, host: Resources): { lasting: number; ending: number } => {
  const shares = { lasting: 0, ending: 0 };
  for (const { item, room } of worker.runs.values()) {
    shares[item.spec.lasting ? "lasting" : "ending"] += shareOf(room, host);
  }
  return shares;
};

/** @returns What waits for room: hosts for it, and workers missing for the widest bounded step. */
const waitingIn = (
  turn: Turn,
  owned: OwnedWork,
  pool: PoolWork,
  host: Resources,
): { hosts: number; spread: number } => {
  let hosts = 0;
  let spread = 0;
  for (const submission of pool.waiting) {
    const perStep = new Map<number, number>();
    const allowed = new Map<number, boolean>();
    for (const { spec, step } of submission.ready) {
      const within = allowed.get(step) ?? withinCeiling(turn, owned, submission, spec);
      allowed.set(step, within);
      if (within) {
        // A host runs short items one after another, long ones take it for as long as they last.
        const inTime = spec.lasting ? 1 : Math.min(1, spec.estimateMs / LENDING.DRAIN_MS);
        hosts += shareOf(roomOf(spec), host) * inTime;
        perStep.set(step, (perStep.get(step) ?? 0) + 1 / (spec.maxPerWorker ?? Infinity));
      }
    }
    spread = Math.max(spread, ...perStep.values());
  }
  return { hosts, spread: Math.ceil(spread) };
};

/** @returns What a pool asks for and has. */
export const demandOf = (turn: Turn, owned: OwnedWork, pool: PoolWork): Demand => {
  const host = hostRoom(pool);
  const waiting = waitingIn(turn, owned, pool, host);
  const coming = comingHosts(owned, pool.id);
  const openWorkers: Worker[] = [];
  let hosts = coming;
  let runningHosts = 0;
  for (const worker of pool.workers) {
    const shares = sharesOn(worker, host);
    runningHosts += shares.ending;
    if (isOpen(turn, owned, worker)) {
      openWorkers.push(worker);
      hosts += Math.max(0, 1 - shares.lasting);
    }
  }
  return {
    pool,
    openWorkers,
    runningHosts,
    waitingHosts: waiting.hosts,
    arrivingHosts: arrivingHosts(turn, pool),
    spreadShort: waiting.spread,
    hosts,
    comingHosts: coming,
  };
};

const wantedHosts = ({ runningHosts, waitingHosts, arrivingHosts }: Demand): number =>
  LENDING.ROOM * Math.max(runningHosts, arrivingHosts) + waitingHosts;

/** @returns How many hosts a pool should get now. */
export const missingHosts = (demand: Demand): number =>
  Math.max(
    0,
    demand.spreadShort - demand.comingHosts,
    Math.ceil(wantedHosts(demand) - demand.hosts),
  );

/** @returns How many hosts a pool can do without. */
export const spareHosts = (demand: Demand): number =>
  Math.max(0, Math.floor(demand.hosts - demand.comingHosts - wantedHosts(demand)));

const rounded = (value: number): number => Math.round(value * 100) / 100;

/** Logs what decides on hosts, once a second for each pool that has or wants work. */
export const logDemand = (turn: Turn, owned: OwnedWork, demands: readonly Demand[]): void => {
  if (turn.nowMs - owned.demandLoggedAtMs < LENDING.LOG_MS) {
    return;
  }
  owned.demandLoggedAtMs = turn.nowMs;
  for (const demand of demands) {
    const { pool, openWorkers } = demand;
    const busy = openWorkers.filter(({ runs }) => runs.size > 0).length;
    if (busy > 0 || demand.waitingHosts > 0) {
      logLine(turn, "info", "pool.demand", {
        pool: pool.id,
        workers: openWorkers.length,
        busyWorkers: busy,
        waitingSubmissions: pool.waiting.size,
        waitingHosts: rounded(demand.waitingHosts),
        runningHosts: rounded(demand.runningHosts),
        arrivingHosts: rounded(demand.arrivingHosts),
        hostsForEndingWork: rounded(demand.hosts),
        comingHosts: demand.comingHosts,
        missingHosts: missingHosts(demand),
      });
    }
  }
};
