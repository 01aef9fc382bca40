import type { PoolId } from "@heatherferry/common";
import type { PoolAdmission, ResourceAdmission, TeamLine } from "../types.js";
import { ADMISSION } from "./constants.js";
import type { Forecast } from "./forecast.js";

const longestWait = ({ waitsMs }: TeamLine): number => waitsMs.at(-1) ?? 0;

/** Rounds the figures of a line so that no wait becomes longer. */
const rounded = ({ team, priority, duesMs, waitsMs }: TeamLine): TeamLine => ({
  team,
  priority,
  duesMs: duesMs.map(Math.ceil),
  waitsMs: waitsMs.map(Math.floor),
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
    .slice(0, ADMISSION.MAX_LINES_PER_RESOURCE)
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

const countLines = (pool: PoolAdmission): number =>
  Object.values(pool).reduce((sum, { lines }: ResourceAdmission) => sum + lines.length, 0);

/** Returns the pools with the longest waits, as many as the figures have room for. */
export const publishedPools = (
  pools: readonly (readonly [PoolId, PoolAdmission])[],
): Readonly<Record<PoolId, PoolAdmission>> => {
  const published: (readonly [PoolId, PoolAdmission])[] = [];
  let lines = 0;
  const longestFirst = [...pools].sort(
    ([, one], [, other]) => longestWaitIn(other) - longestWaitIn(one),
  );
  for (const [id, pool] of longestFirst.slice(0, ADMISSION.MAX_POOLS)) {
    lines += countLines(pool);
    if (lines <= ADMISSION.MAX_LINES) {
      published.push([id, pool]);
    }
  }
  return Object.fromEntries(published);
};
