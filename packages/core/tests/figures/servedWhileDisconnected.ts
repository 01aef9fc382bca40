import { TIME } from "@heatherferry/common";
import { TestFleet } from "../helpers/testFleet.js";
import { rulesWithLimits } from "../helpers/testRules.js";

const LIMIT = 400;
const ZONES = { a: 2, b: 2, c: 2, d: 2 };
const FRACTIONS = [0.1, 0.25, 0.5, 0.75] as const;
/** Requests per second in the disconnected zone, as a fraction of its equal share of the limit. */
const LOADS = [0.25, 0.5, 1] as const;
const SERVICE_MS = 1_000;
const STEP_MS = 100;

const servedFraction = (baseFraction: number, load: number): number => {
  const rules = rulesWithLimits({ corks: LIMIT });
  const fleet = new TestFleet({ zones: ZONES, rules, seed: 9, terms: { baseFraction } });
  fleet.run(10_000);
  fleet.setZoneDisconnected("a", true);
  const requestsPerSecond = (LIMIT / 4) * load;
  let sent = 0;
  for (let elapsedMs = 0; elapsedMs < TIME.HOUR_MS; elapsedMs += STEP_MS) {
    const due = Math.round((requestsPerSecond * (elapsedMs + STEP_MS)) / 1_000) - sent;
    sent += due;
    fleet.sendRequests("a1", "q-corks", Math.ceil(due / 2), SERVICE_MS);
    fleet.sendRequests("a2", "q-corks", Math.floor(due / 2), SERVICE_MS);
    fleet.run(STEP_MS);
  }
  return fleet.completedRequests / sent;
};

/** Prints the fraction of its requests that a zone serves in an hour without the platform. */
export const printServedWhileDisconnected = (): void => {
  console.log(
    `base fraction: served in an hour at a load of ${LOADS.join(", ")} of the zone's equal share`,
  );
  for (const fraction of FRACTIONS) {
    const percentages = LOADS.map(
      (load) => `${(100 * servedFraction(fraction, load)).toFixed(1)}%`,
    );
    console.log(`${fraction}: ${percentages.join(", ")}`);
  }
};
