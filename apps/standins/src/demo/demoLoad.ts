import type { LoadPlan, LoadStream } from "../load/types.js";
import {
  DEMO_FLEET,
  DEMO_LOAD,
  DEMO_RATE_FACTOR,
  DEMO_SURGE,
  DEMO_TEAMS,
  DEMO_TIMES,
} from "./constants.js";
import { secretOf } from "./rulesText.js";

type Team = (typeof DEMO_TEAMS)[number];

const SURGE_PHASES = [
  { durationMs: DEMO_TIMES.SURGE_AT_MS, factor: 1 },
  { durationMs: DEMO_TIMES.SURGE_MS, factor: DEMO_RATE_FACTOR.SURGE },
  { durationMs: DEMO_TIMES.RECOVERY_MS, factor: DEMO_RATE_FACTOR.RECOVERY },
];

const streamOf = ({ team, meanPerSecond, workMs }: Team, queue: string): LoadStream => {
  const surges = queue === DEMO_SURGE.SERVICE;
  return {
    team,
    secret: secretOf(team),
    queue,
    meanPerSecond: surges ? meanPerSecond : DEMO_LOAD.BACKGROUND_PER_SECOND,
    phases: surges ? SURGE_PHASES : [],
    idempotentFraction: 0.5,
    workMs: surges ? workMs : DEMO_LOAD.BACKGROUND_WORK_MS,
    workJitterMs: 0,
    bodyBytes: DEMO_LOAD.BODY_BYTES,
    answerBytes: DEMO_LOAD.ANSWER_BYTES,
    timeoutMs: null,
  };
};

/**
 * Returns the load of the demo: traffic of all teams to all services, with a surge on one service.
 *
 * @param entryHosts - `host:port` of each entry host.
 */
export const demoLoad = (entryHosts: readonly string[]): LoadPlan => ({
  entryHosts,
  streams: DEMO_TEAMS.flatMap((team) =>
    DEMO_FLEET.SERVICES.map((service) => streamOf(team, service)),
  ),
  durationMs: DEMO_TIMES.SURGE_AT_MS + DEMO_TIMES.SURGE_MS + DEMO_TIMES.RECOVERY_MS,
  seed: DEMO_LOAD.SEED,
});
