import test from "ava";
import type { RunningLine } from "../../src/index.js";
import { OwnerNode, reportOf, type StartEffect } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const SUBMISSION_ID = "00000000000000aa";
const FIRST_INCARNATION = { startWallMs: 100 };

/** Longer than a run may go without progress. */
const STALLED_MS = 2_700;

const lineOf = ({ item, run }: StartEffect): RunningLine => ({
  item,
  run,
  checkpoint: "",
  percent: 0,
  load: null,
});

/** Returns a node that has ordered two items on a worker, the first of which has started. */
const nodeWithStarts = (): { node: OwnerNode; starts: readonly StartEffect[] } => {
  const node = new OwnerNode();
  node.register(reportOf("w", 100));
  node.answerPoll(node.lastPollOf("w"), FIRST_INCARNATION);
  node.submit(SUBMISSION_ID, workOf([stepOf(2, 500, [])]));
  node.run(60);
  const starts = [...node.starts];
  for (const start of starts.slice(0, 1)) {
    node.answerStart(start, "started");
  }
  return { node, starts };
};

test("a run is stopped as stalled although no poll has listed it since it was ordered", (t) => {
  const { node, starts } = nodeWithStarts();
  t.is(starts.length, 2);
  node.run(STALLED_MS);
  for (const start of starts.slice(1)) {
    node.answerStart(start, "started");
  }
  node.run(60);
  t.is(node.stops.length, 0);
});

test("a run that polls show without progress for too long runs on", (t) => {
  const { node, starts } = nodeWithStarts();
  const running = starts.slice(0, 1).map(lineOf);
  for (const start of starts.slice(1)) {
    node.answerStart(start, "refused");
  }
  node.answerPoll(node.nextPollOf("w"), { ...FIRST_INCARNATION, running });
  node.run(STALLED_MS);
  node.answerPoll(node.nextPollOf("w"), { ...FIRST_INCARNATION, running });
  node.run(60);
  t.deepEqual(
    node.stops.map(({ item }) => item),
    running.map(({ item }) => item),
  );
});
