import type { PoolId } from "@heatherferry/common";
import type { PoolAdmission, ResourceAdmission, TeamLine } from "../types.js";
import { ADMISSION } from "./constants.js";
import type { Forecast } from "./forecast.js";

const longestWait = ({ points }: TeamLine): number => points.at(-1)?.waitMs ?? 0;

/** Rounds the figures of a line so that no wait becomes longer. */
const rounded = ({ team, priority, points }: TeamLine): TeamLine => ({
  team,
  priority,
  points: points.map(({ dueInMs, waitMs }) => ({
    dueInMs: Math.ceil(dueInMs),
    waitMs: Math.floor(waitMs),
  })),
});

/** Returns what is published of a forecast; null if its waits refuse nobody. */
export const publishedForecast = ({
  withinRateMs,
  freeUnits,
  lines,
}: Forecast): ResourceAdmission | null => {
  const long = lines
    .filter((line) => longestWait(line) >= ADMISSION.MIN_PUBLISHED_WAIT_MS)
    .sort((one, other) => longestWait(other) - longestWait(one))
    .slice(0, ADMISSION.MAX_TEAMS)
    .map(rounded);
  return long.length === 0 && withinRateMs < ADMISSION.MIN_PUBLISHED_WAIT_MS
    ? null
    : { withinRateMs: Math.floor(withinRateMs), freeUnits: Math.ceil(freeUnits), lines: long };
};

const longestWaitIn = (pool: PoolAdmission): number =>
  Math.max(
    ...Object.values(pool).map(({ withinRateMs, lines }: ResourceAdmission) =>
      Math.max(withinRateMs, ...lines.map(longestWait)),
    ),
  );

/** Returns the pools with the longest waits, as many as the figures name. */
export const publishedPools = (
  pools: readonly (readonly [PoolId, PoolAdmission])[],
): Readonly<Record<PoolId, PoolAdmission>> =>
  Object.fromEntries(
    [...pools]
      .sort(([, one], [, other]) => longestWaitIn(other) - longestWaitIn(one))
      .slice(0, ADMISSION.MAX_POOLS),
  );
