import type { TeamId } from "@heatherferry/common";
import type { TeamLine } from "../types.js";
import { ADMISSION, ROOM, STANDING } from "./constants.js";
import type { PoolRoom, Resource, WaitingWork } from "./types.js";

/** Forecast of the waits for one resource of a pool, at the most that it may get through. */
export interface Forecast {
  /** When all work within the rates of its teams has started. */
  readonly withinRateMs: number;
  /** Units of the resource that may be free for work beyond the rates. */
  readonly freeUnits: number;
  /** Lines of teams beyond their rates. */
  readonly lines: readonly TeamLine[];
}

/** Units of the resource that a team may have in use; 0 for no limit. */
type CeilingOf = (team: TeamId | null) => number;

/** The order of work in a line. */
const compare = (one: WaitingWork, other: WaitingWork): number =>
  one.standing - other.standing || one.priority - other.priority || one.dueInMs - other.dueInMs;

/** Most work of a team that a pool can have started by a time, given the team's ceiling. */
const startableWork = (ceiling: number, byMs: number): number =>
  ceiling === 0 ? Infinity : ceiling * byMs;

/**
 * Returns when the work within the rates of its teams has started. What cannot start while that is
 * of use does not count, nor what its team's ceiling holds back.
 */
const startOfAll = (
  entries: readonly WaitingWork[],
  resource: Resource,
  rate: number,
  ceilingOf: CeilingOf,
): number => {
  const counted = new Map<TeamId | null, number>();
  let startMs = 0;
  for (const { team, usefulForMs, work } of entries) {
    if (work[resource] > 0 && startMs <= usefulForMs) {
      const before = counted.get(team) ?? 0;
      const most = startableWork(ceilingOf(team), startMs + work[resource] / rate);
      const counts = Math.max(0, Math.min(work[resource], most - before));
      counted.set(team, before + counts);
      startMs += counts / rate;
    }
  }
  return startMs;
};

/** Returns the waits behind parts of a line of one team, which is sorted by deadline. */
const waitsBehind = (
  line: readonly WaitingWork[],
  resource: Resource,
  fromMs: number,
  rate: number,
): Pick<TeamLine, "duesMs" | "waitsMs"> => {
  const duesMs: number[] = [];
  const waitsMs: number[] = [];
  const stride = Math.ceil(line.length / ADMISSION.POINTS_PER_LINE);
  let waitMs = fromMs;
  line.forEach(({ dueInMs, work }, index) => {
    waitMs += work[resource] / rate;
    if ((index + 1) % stride === 0 || index === line.length - 1) {
      duesMs.push(dueInMs);
      waitsMs.push(waitMs);
    }
  });
  return { duesMs, waitsMs };
};

/** Returns the units that a pool may have free beside the work that keeps arriving within rates. */
const freeUnitsOf = ({ capacity, speed, arriving }: PoolRoom): number => {
  const room = capacity * Math.max(1, speed);
  return Math.max(ROOM.MIN_SHARE * room, ROOM.MARGIN * room - arriving);
};

const linesBeyondRate = (
  entries: readonly WaitingWork[],
): ReadonlyMap<string, readonly [WaitingWork, ...WaitingWork[]]> => {
  const lines = new Map<string, [WaitingWork, ...WaitingWork[]]>();
  for (const entry of entries) {
    const key = `${entry.priority} ${entry.team ?? ""}`;
    const line = lines.get(key);
    if (line === undefined) {
      lines.set(key, [entry]);
    } else {
      line.push(entry);
    }
  }
  return lines;
};

/** Returns waiting work in the order in which it gets capacity. */
export const inOrder = (waiting: readonly WaitingWork[]): readonly WaitingWork[] =>
  [...waiting].sort(compare);

/** Whether newcomers may have to wait for long, so that a forecast is worth its cost. */
export const mayWaitLong = (
  waiting: readonly WaitingWork[],
  resource: Resource,
  room: PoolRoom,
): boolean => {
  const workMs = waiting.reduce((sum, { work }) => sum + work[resource], 0);
  return workMs / freeUnitsOf(room) >= ADMISSION.MIN_PUBLISHED_WAIT_MS;
};

/**
 * Forecasts the waits of work beyond the rates of teams. It starts after all work within the rates,
 * and by deadline among work of its own team and priority. Lines of other teams beyond their rates
 * do not count, since teams may take turns.
 *
 * @param waiting - Waiting work of the pool, in order.
 */
export const forecastWaits = (
  waiting: readonly WaitingWork[],
  resource: Resource,
  room: PoolRoom,
  ceilingOf: CeilingOf,
): Forecast => {
  const rate = freeUnitsOf(room);
  const isOverRate = ({ standing }: WaitingWork): boolean => standing === STANDING.OVER_RATE;
  const withinRate = waiting.filter((entry) => !isOverRate(entry));
  const withinRateMs = startOfAll(withinRate, resource, rate, ceilingOf);
  const lines: TeamLine[] = [];
  for (const line of linesBeyondRate(waiting.filter(isOverRate)).values()) {
    const [{ team, priority }] = line;
    if (team !== null) {
      const ownRate = Math.min(rate, ceilingOf(team) === 0 ? Infinity : ceilingOf(team));
      lines.push({ team, priority, ...waitsBehind(line, resource, withinRateMs, ownRate) });
    }
  }
  return { withinRateMs, freeUnits: rate, lines };
};
