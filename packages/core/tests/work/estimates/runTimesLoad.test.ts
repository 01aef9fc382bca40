import test from "ava";
import { ESTIMATE_ERROR, MisleadingSite } from "./misleadingSite.js";

const SEEDS = [1, 2, 3];

/** By how much the share in time may differ without being counted as a difference. */
const TOLERANCE = 0.03;

/** Returns the share of the submissions in time, over all seeds. */
const shareInTime = (estimateError: number, learns: boolean): number => {
  const shares = SEEDS.map((seed) => new MisleadingSite({ seed, learns, estimateError }).play());
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
};

test("callers whose estimates are off by five are served late as if nothing were learned", (t) => {
  const exact = shareInTime(ESTIMATE_ERROR.NONE, false);
  const unlearned = shareInTime(ESTIMATE_ERROR.MISLEADING, false);
  const learned = shareInTime(ESTIMATE_ERROR.MISLEADING, true);
  t.log({ exact, unlearned, learned });
  t.true(learned > unlearned + TOLERANCE, `${learned} in time, ${unlearned} without learning`);
  t.true(learned >= exact - TOLERANCE, `${learned} in time, ${exact} with exact estimates`);
});

test("callers who know how long their work runs lose by what is learned", (t) => {
  const unlearned = shareInTime(ESTIMATE_ERROR.NONE, false);
  const learned = shareInTime(ESTIMATE_ERROR.NONE, true);
  t.log({ unlearned, learned });
  t.true(learned >= unlearned - TOLERANCE, `${learned} in time, ${unlearned} without learning`);
});
