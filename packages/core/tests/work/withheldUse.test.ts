import { teamId } from "@heatherferry/common";
import test from "ava";
import {
  itemKeyOf,
  storeVersion,
  submissionId,
  workerId,
  type ItemKey,
  type OwnedWork,
  type StoreRow,
} from "../../src/index.js";
import { submissionRowOf, OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const ID = "00000000000000aa";
const WORKERS = 30;
const ITEMS = 300;
const CPU_MILLI = 10;
const version = storeVersion(1);

const itemAt = (index: number): ItemKey => itemKeyOf(submissionId(ID), 0, 0, index);

/** Returns what a worker's lease row lists: ten items, and one that the next row lists too. */
const itemIndexesOf = (worker: number): number[] => [
  ...Array.from({ length: 10 }, (_, offset) => worker * 10 + offset),
  ((worker + 1) % WORKERS) * 10,
];

const newOwnerNode = (): OwnerNode => {
  const indexes = Array.from({ length: WORKERS }, (_, index) => index);
  const leases: StoreRow[] = indexes.map((index) => ({
    type: "lease",
    version,
    worker: workerId(`w${index}`),
    lease: {
      pool: reportOf("w", 0).pool,
      items: { [`${ID}.0.0`]: itemIndexesOf(index) },
      stopping: false,
    },
  }));
  const handIn = submissionRowOf(ID, workOf([stepOf(ITEMS, CPU_MILLI, [])]));
  return new OwnerNode({
    workers: indexes.map((index) => ({
      type: "worker",
      version,
      report: reportOf(`w${index}`, 100),
    })),
    handIns: [{ type: "handIn", version, submission: handIn }],
    leases,
  });
};

const ownedWorkOf = (node: OwnerNode): OwnedWork => {
  const owned = node.state.work?.owned;
  if (owned == null) {
    throw new Error("the node is not the owner");
  }
  return owned;
};

const withheldCpuMilli = (owned: OwnedWork): number =>
  owned.withheldUse.get(teamId("lots"))?.cpuMilli ?? 0;

test("withheld items are charged wrongly to their team if two lease rows list one of them", (t) => {
  const node = newOwnerNode();
  const owned = ownedWorkOf(node);
  t.is(owned.unfencedLeases.size, WORKERS);
  t.is(withheldCpuMilli(owned), ITEMS * CPU_MILLI);
  for (let worker = 0; worker < WORKERS; worker += 1) {
    // Every other item that two rows list runs on the worker that answers first.
    const running = worker % 2 === 0 ? [itemAt(((worker + 1) % WORKERS) * 10)] : [];
    node.answerPoll(node.lastPollOf(`w${worker}`), {
      startWallMs: 100,
      running: running.map((item) => ({ item, run: 1, checkpoint: "", percent: 1, load: null })),
    });
    const unbooked = [...owned.withheldItems.keys()].filter((key) => {
      const index = Number(key.slice(key.lastIndexOf(".") + 1));
      return (
        owned.submissions.get(submissionId(ID))?.occurrences.get(0)?.steps[0]?.get(index)?.run ===
        null
      );
    });
    t.is(withheldCpuMilli(owned), unbooked.length * CPU_MILLI);
  }
  t.is(owned.unfencedLeases.size, 0);
  t.is(withheldCpuMilli(owned), 0);
});

test("a new owner iterates over all withheld items for each worker that becomes fenced", (t) => {
  const node = newOwnerNode();
  const owned = ownedWorkOf(node);
  let visited = 0;
  const { withheldItems } = owned;
  const keys = withheldItems.keys.bind(withheldItems);
  const entries = withheldItems.entries.bind(withheldItems);
  withheldItems.keys = () => {
    visited += withheldItems.size;
    return keys();
  };
  withheldItems[Symbol.iterator] = () => {
    visited += withheldItems.size;
    return entries();
  };
  for (let worker = 0; worker < WORKERS; worker += 1) {
    node.answerPoll(node.lastPollOf(`w${worker}`), { startWallMs: 100 });
  }
  t.is(owned.unfencedLeases.size, 0);
  t.true(visited <= ITEMS);
});
