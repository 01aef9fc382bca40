import { poolId } from "@heatherferry/common";
import test from "ava";
import type { Resources, WorkerReport } from "../../src/index.js";
import { hostCapacity } from "../../src/work/hosts/arrivals.js";
import { poolOf } from "../../src/work/hosts/pools.js";
import { OwnerNode, reportOf } from "./ownerNode.js";

const BORN = { startWallMs: 100 };

const registrationWith = (id: string, cpuMilli: number): WorkerReport => {
  const report = reportOf(id, 100);
  return { ...report, capacity: { ...report.capacity, cpuMilli } };
};

const capacityOf = ({ state }: OwnerNode): Resources | null => {
  const owned = state.work?.owned ?? null;
  return owned === null ? null : hostCapacity(poolOf(owned, poolId("mills")));
};

// Guards against an entry in another unit, or of no worker at all, that sets a pool's demand.
test("the capacity of the first registration stands for all hosts although it never answers", (t) => {
  const node = new OwnerNode();
  node.register(registrationWith("agent", 32));
  t.is(capacityOf(node)?.cpuMilli, 32);
  node.register(registrationWith("w1", 32_000));
  node.answerPoll(node.nextPollOf("w1"), BORN);
  t.is(capacityOf(node)?.cpuMilli, 32_000);
});

test("hosts have the capacity of one whose worker is gone", (t) => {
  const node = new OwnerNode();
  node.register(registrationWith("agent", 32));
  for (const [id, cpuMilli] of [
    ["w1", 16_000],
    ["w2", 32_000],
  ] as const) {
    node.register(registrationWith(id, cpuMilli));
    node.answerPoll(node.nextPollOf(id), BORN);
  }
  t.is(capacityOf(node)?.cpuMilli, 16_000);
  node.failPoll(node.nextPollOf("agent"), true);
  node.register({ ...registrationWith("w1", 8_000), startWallMs: 200 });
  node.answerPoll(node.nextPollOf("w1"), { startWallMs: 200 });
  t.is(capacityOf(node)?.cpuMilli, 32_000);
});
