import { hostId, poolId } from "@heatherferry/common";
import test from "ava";
import type { HostListing, WorkSpec } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { TEAM_CEILING } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN = { startWallMs: 100 };
const LABEL = "fast";
const SMALL = "00000000000000bb";

/** More submissions than a few placement passes examine. */
const MANY = 300;

/** Time for dozens of placement passes. */
const PASSES_MS = 1_500;

const idOf = (number: number): string => `a${number.toString(16).padStart(15, "0")}`;

/** Returns a node with a worker for each of the labels, the first of which is full. */
const nodeWith = (labels: readonly string[]): OwnerNode => {
  const node = new OwnerNode();
  labels.forEach((label, index) => {
    const report = reportOf(`w${index}`, 100, `10.0.0.${index + 1}:1`);
    node.register({ ...report, labels: [label] });
    node.answerPoll(node.nextPollOf(`w${index}`), BORN);
  });
  return node;
};

const startsSmallItem = (node: OwnerNode, others: readonly WorkSpec[]): boolean => {
  others.forEach((work, number) => {
    node.submit(idOf(number), work);
  });
  node.submit(SMALL, workOf([stepOf(1, 500, [])]));
  node.run(PASSES_MS);
  return node.starts.some(({ item }) => item.startsWith(SMALL));
};

const repeat = (make: (number: number) => WorkSpec): WorkSpec[] =>
  Array.from({ length: MANY }, (_, number) => make(number));

const lasting = (cpuMilli: number, requiredLabel: string | null): WorkSpec =>
  workOf([{ ...stepOf(4, cpuMilli, []), lasting: true, requiredLabel }]);

// Guards against LOST: submissions that can never run stand at the head of the backlog, use up the
// checks of each placement pass and keep all others from starting beside free workers.
test("work that fits waits behind submissions that require labels which no worker has", (t) => {
  const node = nodeWith(["plain", "plain"]);
  t.true(
    startsSmallItem(
      node,
      repeat((number) => lasting(100, `none-${number}`)),
    ),
  );
});

test("work that fits waits behind items of all sizes above that of any worker", (t) => {
  const node = nodeWith(["plain", "plain"]);
  t.true(
    startsSmallItem(
      node,
      repeat((number) => lasting(5_000 - number, null)),
    ),
  );
});

test("work that fits waits behind items of all sizes for whose label there is no room", (t) => {
  const node = nodeWith([LABEL, "plain"]);
  node.submit("00000000000000aa", lasting(900, LABEL));
  node.run(200);
  t.true(
    startsSmallItem(
      node,
      repeat((number) => lasting(3_900 - 10 * number, LABEL)),
    ),
  );
});

test("work that fits waits behind items of its team that exceed what the team may use", (t) => {
  const node = nodeWith(["plain", "plain"]);
  const above = (number: number): WorkSpec =>
    workOf([{ ...stepOf(1, TEAM_CEILING.cpuMilli + 1 + number, []), lasting: true }]);
  t.true(startsSmallItem(node, repeat(above)));
});

test("work that no worker can hold draws in hosts", (t) => {
  const node = nodeWith(["plain"]);
  node.handle({ type: "power/listed", sentAtMs: node.nowMs, hosts: [] });
  node.submit(idOf(0), lasting(100, "none"));
  node.run(PASSES_MS);
  const pools = [...(node.state.work?.owned?.pools.values() ?? [])];
  t.is(
    pools.reduce((sum, { backlog }) => sum + backlog.size, 0),
    0,
  );
  t.is(node.logged("submission.unplaceable").length, 1);
  const [row] = node.writtenRows.filter(({ type }) => type === "progress");
  t.regex(row?.type === "progress" ? (row.progress.obstacle ?? "") : "", /label none/u);
});

test("work that first waited for a label and then for good is taken off the backlog twice", (t) => {
  const node = nodeWith(["plain"]);
  for (let number = 0; number < 4; number += 1) {
    node.submit(idOf(number), lasting(100, "none"));
  }
  node.run(PASSES_MS);
  node.handle({ type: "power/listed", sentAtMs: node.nowMs, hosts: [] });
  node.register({ ...reportOf("new", 100, "10.0.0.9:1"), labels: [LABEL] });
  node.run(PASSES_MS);
  const pools = [...(node.state.work?.owned?.pools.values() ?? [])];
  t.true(pools.every(({ backlog }) => backlog.size === 0));
});

test("work that no worker could hold waits although a worker that can has come", (t) => {
  const node = nodeWith(["plain"]);
  node.handle({ type: "power/listed", sentAtMs: node.nowMs, hosts: [] });
  node.submit(idOf(0), lasting(100, LABEL));
  node.run(PASSES_MS);
  t.is(node.starts.length, 0);
  node.register({ ...reportOf("new", 100, "10.0.0.9:1"), labels: [LABEL] });
  node.answerPoll(node.nextPollOf("new"), BORN);
  node.run(PASSES_MS);
  t.true(node.starts.some(({ worker }) => worker === "new"));
});

test("a host whose capacity is not known is not named in the log, or at every list", (t) => {
  const node = nodeWith(["plain"]);
  const host: HostListing = {
    host: hostId("m-9"),
    pool: poolId("spare"),
    availabilityZone: null,
    up: true,
    inMaintenance: false,
    worker: null,
    labels: [],
    capacity: null,
  };
  for (let lists = 0; lists < 2; lists += 1) {
    node.handle({ type: "power/listed", sentAtMs: node.nowMs, hosts: [host] });
  }
  t.deepEqual(
    node.logged("hosts.capacityUnknown").map(({ fields }) => fields),
    [{ host: "m-9" }],
  );
});
