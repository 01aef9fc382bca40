import { rowKey } from "@heatherferry/common";
import { grantedCount } from "@heatherferry/coordination";
import { TestFleet } from "../helpers/testFleet.js";
import { rulesWithLimits } from "../helpers/testRules.js";

const LIMIT = 400;
const ZONES = { a: 2, b: 2, c: 2, d: 2 };
const NAMES = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"];
const SETTINGS = [
  { burstTermMs: 15_000, runTailMs: 30_000 },
  { burstTermMs: 30_000, runTailMs: 120_000 },
  { burstTermMs: 60_000, runTailMs: 120_000 },
  { burstTermMs: 60_000, runTailMs: 600_000 },
] as const;

const strandedCount = (fleet: TestFleet): number => {
  const body = fleet.table.row(rowKey("escrow/zone/a/corks"))?.body;
  const grants = body?.type === "zoneEscrow" ? body.grants : [];
  return grants
    .filter((grant) => grant.holder === "a1/i1")
    .reduce((sum, grant) => sum + grantedCount(grant), 0);
};

const runWithLoad = (fleet: TestFleet, names: readonly string[], durationMs: number): void => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1_000) {
    names.forEach((name) => {
      fleet.sendRequests(name, "q-corks", 60, 1_000);
    });
    fleet.run(1_000);
  }
};

const percent = (count: number): string => `${((100 * count) / LIMIT).toFixed(1)}%`;

/**
 * Prints the fraction of a limit that stays granted to one of eight busy entry hosts after it is
 * killed, and how long that lasts.
 */
export const printStrandedAfterCrash = (): void => {
  console.log(
    "burst term, run tail: stranded at once, until the burst is reclaimed, stranded then (base)",
  );
  for (const terms of SETTINGS) {
    const fleet = new TestFleet({
      zones: ZONES,
      rules: rulesWithLimits({ corks: LIMIT }),
      seed: 5,
      terms,
    });
    fleet.run(10_000);
    runWithLoad(fleet, NAMES, 60_000);
    fleet.kill("a1");
    const strandedAtOnce = strandedCount(fleet);
    const killedAtMs = fleet.time.nowMs;
    const others = NAMES.slice(1);
    let stillStranded = strandedAtOnce;
    while (stillStranded === strandedAtOnce && fleet.time.nowMs - killedAtMs < 1_200_000) {
      runWithLoad(fleet, others, 1_000);
      stillStranded = strandedCount(fleet);
    }
    const reclaimedAfterS = (fleet.time.nowMs - killedAtMs) / 1_000;
    console.log(
      `${terms.burstTermMs / 1_000} s, ${terms.runTailMs / 1_000} s: ` +
        `${percent(strandedAtOnce)}, ${reclaimedAfterS} s, ${percent(stillStranded)}`,
    );
  }
};
