import { TIME } from "@heatherferry/common";
import { TestFleet } from "../helpers/testFleet.js";
import { rulesWithLimits } from "../helpers/testRules.js";

const LIMIT = 400;
const ZONES = { a: 2, b: 2, c: 2, d: 2 };
const FRACTIONS = [0.1, 0.25, 0.5, 0.75] as const;
/** Requests of a second in the cut-off zone, as a part of its equal share of the limit. */
const LOADS = [0.25, 0.5, 1] as const;
const SERVICE_MS = 1_000;
const STEP_MS = 100;

const servedPart = (baseFraction: number, load: number): number => {
  const rules = rulesWithLimits({ corks: LIMIT });
  const fleet = new TestFleet({ zones: ZONES, rules, seed: 9, terms: { baseFraction } });
  fleet.run(10_000);
  fleet.cutZone("a", true);
  const perSecond = (LIMIT / 4) * load;
  let offered = 0;
  for (let passedMs = 0; passedMs < TIME.HOUR_MS; passedMs += STEP_MS) {
    const due = Math.round((perSecond * (passedMs + STEP_MS)) / 1_000) - offered;
    offered += due;
    fleet.offer("a1", "q-corks", Math.ceil(due / 2), SERVICE_MS);
    fleet.offer("a2", "q-corks", Math.floor(due / 2), SERVICE_MS);
    fleet.run(STEP_MS);
  }
  return fleet.served / offered;
};

/** Prints what part of its demand a zone serves in an hour without the platform. */
export const printServed = (): void => {
  console.log(
    `base fraction: served in an hour at a demand of ${LOADS.join(", ")} of the zone's equal part`,
  );
  for (const fraction of FRACTIONS) {
    const parts = LOADS.map((load) => `${(100 * servedPart(fraction, load)).toFixed(1)}%`);
    console.log(`${fraction}: ${parts.join(", ")}`);
  }
};
