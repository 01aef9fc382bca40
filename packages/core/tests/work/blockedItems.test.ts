import { poolId } from "@heatherferry/common";
import test from "ava";
import { END_KIND, storeVersion, workerId, type EndKind, type EndLine } from "../../src/index.js";
import { OwnerNode, reportOf, submissionRowOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const ID = "00000000000000aa";
const FIRST = `${ID}.0.0.0`;
const SECOND = `${ID}.0.1.0`;
const BORN = { startWallMs: 100 };

const endOf = (item: string, kind: EndKind): EndLine => ({
  sequence: 1,
  item: item as EndLine["item"],
  run: 1,
  kind,
  checkpoint: "",
});

/** Returns a new owner whose predecessor left an item of each of two steps on two workers. */
const successor = (): OwnerNode => {
  const leases = [FIRST, SECOND].map((item, index) => ({
    type: "lease" as const,
    version: storeVersion(1),
    worker: workerId(`w${index}`),
    lease: {
      pool: poolId("mills"),
      items: { [item.slice(0, item.lastIndexOf("."))]: [0] },
      stopping: false,
      startWallMs: 100,
    },
  }));
  const work = workOf([stepOf(1, 500, []), stepOf(1, 500, [0])]);
  const submission = submissionRowOf(ID, work);
  const handIn = { type: "handIn" as const, version: storeVersion(1), submission };
  const node = new OwnerNode({ leases, handIns: [handIn] });
  node.register(reportOf("w0", 100, "10.0.0.1:1"));
  node.register(reportOf("w1", 100, "10.0.0.2:1"));
  return node;
};

for (const kind of [END_KIND.FAILED, END_KIND.LEASE_EXPIRED]) {
  // Guards against LOST: a successor hears of an item's end before that of the step before it.
  test(`an item that ended as ${kind} before its step was known to be due never starts again`, (t) => {
    const node = successor();
    node.answerPoll(node.nextPollOf("w1"), { ...BORN, ends: [endOf(SECOND, kind)] });
    node.run(200);
    t.deepEqual(node.starts, []);
    node.answerPoll(node.nextPollOf("w0"), { ...BORN, ends: [endOf(FIRST, END_KIND.DONE)] });
    node.run(1_000);
    t.deepEqual(
      node.starts.map(({ item }) => item),
      [SECOND] as unknown as (typeof node.starts)[number]["item"][],
    );
  });
}
