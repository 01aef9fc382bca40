import test from "ava";
import { fence, initialWork, type OwnerRow, type WorkloadState } from "../../src/index.js";
import { claimDelayMs, strongestMilli } from "../../src/work/claimDelay.js";
import { BOUNDS } from "./siteFixtures.js";

const nodeWith = (processorMilli: number, strongestOwnerMilli: number | null): WorkloadState => {
  const work = initialWork({ holder: "n", incarnation: "n-1" }, BOUNDS, processorMilli);
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

test("a node with a third of a core takes the work before one with more claims it", (t) => {
  for (const strongest of [null, 1_350]) {
    const strong = claimDelayMs(nodeWith(1_350, strongest));
    const weak = claimDelayMs(nodeWith(324, strongest));
    t.true(weak - strong >= 300, `${weak} ms against ${strong} ms`);
  }
});

test("nodes that are all alike wait for a stronger one", (t) => {
  t.is(claimDelayMs(nodeWith(324, 324)), claimDelayMs(nodeWith(1_350, 1_350)));
});

test("a weak owner lets the nodes forget how strong an owner can be", (t) => {
  t.is(strongestMilli(nodeWith(324, 1_350)), 1_350);
});
