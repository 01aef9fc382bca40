import test from "ava";
import { fence, initialWorkloadState, type OwnerRow, type WorkloadState } from "../../src/index.js";
import { claimDelayMs, strongestOwnerMilli } from "../../src/work/ownership/claimDelay.js";
import { BOUNDS } from "./siteFixtures.js";

const nodeWith = (processorMilli: number, strongestOwnerMilli: number | null): WorkloadState => {
  const work = initialWorkloadState({ holder: "n", incarnation: "n-1" }, BOUNDS, processorMilli);
  const row: OwnerRow = {
    holder: "m",
    incarnation: "m-1",
    fence: fence(1),
    released: true,
    orderedHosts: {},
    pending: null,
    strongestMilli: strongestOwnerMilli ?? 0,
  };
  work.ownerView.row = strongestOwnerMilli === null ? null : row;
  return work;
};

test("a node with a third of a core claims ownership before one with more does", (t) => {
  for (const strongest of [null, 1_350]) {
    const strongMs = claimDelayMs(nodeWith(1_350, strongest));
    const weakMs = claimDelayMs(nodeWith(324, strongest));
    t.true(
      weakMs - strongMs >= 300,
      `${weakMs} ms with a third of a core, ${strongMs} ms with more`,
    );
  }
});

test("nodes that match the strongest owner wait for a node with more processor time", (t) => {
  t.is(claimDelayMs(nodeWith(324, 324)), claimDelayMs(nodeWith(1_350, 1_350)));
});

test("an underpowered owner lowers the recorded processor time of the strongest owner", (t) => {
  t.is(strongestOwnerMilli(nodeWith(324, 1_350)), 1_350);
});
