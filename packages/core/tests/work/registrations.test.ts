import { poolId } from "@heatherferry/common";
import test from "ava";
import { storeVersion, workerId, type StoreRow, type WorkerReport } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { CATALOG } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

const BORN = { startWallMs: 100 };

const UNNAMED = poolId("looms");

const SETTLE_MS = 400;

/** More than the time after which a worker without a registration is forgotten. */
const FORGET_MS = 30_000;

const unnamedReport = (id: string): WorkerReport => ({
  ...reportOf(id, 100, "10.0.0.9:1"),
  pool: UNNAMED,
});

/** An owner that reads changes of the operators, and removals of registrations. */
class ReadingOwner extends OwnerNode {
  readOperators(row: StoreRow): void {
    this.answerFeed("operators", row);
  }

  deregister(id: string): void {
    const version = storeVersion(this.version);
    this.answerFeed("workers", { type: "workerGone", version, id: workerId(id) });
  }
}

/** Delivers a catalog that names a further pool. */
const nameMore = (node: ReadingOwner, revision: number): void => {
  const pools = [...CATALOG.pools, { id: UNNAMED, standby: false }];
  node.readOperators({
    type: "catalog",
    version: storeVersion(revision),
    catalog: { ...CATALOG, revision, pools },
  });
};

const workerIds = (node: ReadingOwner): readonly string[] => [
  ...(node.state.work?.owned?.workers.keys() ?? []),
];

// Guards against an owner that keeps pools, indexes and polls for entries of any other writer.
test("a registration in a pool that no catalog names is a worker, or is logged at every read", (t) => {
  const node = new ReadingOwner();
  node.register(unnamedReport("w1"));
  node.register({ ...unnamedReport("w1"), draining: true });
  node.run(SETTLE_MS);
  t.deepEqual(workerIds(node), []);
  t.deepEqual(node.polls, []);
  t.false(node.state.work?.owned?.pools.has(UNNAMED));
  t.deepEqual(
    node.logged("worker.poolUnnamed").map(({ fields }) => fields),
    [{ worker: "w1", pool: UNNAMED }],
  );
});

test("a registration that the catalog names later stays left out", (t) => {
  const node = new ReadingOwner();
  node.register(unnamedReport("w1"));
  nameMore(node, 2);
  node.run(SETTLE_MS);
  t.deepEqual(workerIds(node), ["w1"]);
  t.is(node.lastPollOf("w1").worker, workerId("w1"));
  t.is(node.state.work?.owned?.setAside.size, 0);
});

test("a registration that is gone counts once the catalog names its pool", (t) => {
  const node = new ReadingOwner();
  node.register(unnamedReport("w1"));
  node.deregister("w1");
  nameMore(node, 2);
  t.deepEqual(workerIds(node), []);
});

// Guards against an executor that loses its place because another writer takes its id.
test("a worker whose registration names another pool goes on as before", (t) => {
  const node = new ReadingOwner();
  node.register(reportOf("w1", 100));
  node.answerPoll(node.nextPollOf("w1"), BORN);
  node.register(unnamedReport("w1"));
  node.run(FORGET_MS);
  t.deepEqual(workerIds(node), []);
  node.register(reportOf("w1", 100));
  t.deepEqual(workerIds(node), ["w1"]);
});

// Guards against TWICE: the entry of a clone that kept the id of a worker counts as its restart.
test("running work is started elsewhere because an entry in an unnamed pool has its worker's id", (t) => {
  const node = new ReadingOwner();
  node.register(reportOf("w1", 100));
  node.answerPoll(node.nextPollOf("w1"), BORN);
  node.submit("00000000000000aa", workOf([stepOf(1, 500, [])]));
  node.run(SETTLE_MS);
  const [start] = node.starts;
  if (start === undefined) {
    t.fail();
    return;
  }
  node.answerStart(start, "started");
  const { item, run } = start;
  const running = [{ item, run, checkpoint: "", percent: 1, load: null }];
  node.answerPoll(node.nextPollOf("w1"), { ...BORN, running });
  node.register(reportOf("w2", 100, "10.0.0.2:1"));
  node.answerPoll(node.nextPollOf("w2"), BORN);
  node.register({ ...unnamedReport("w1"), startWallMs: 200 });
  node.run(SETTLE_MS);
  t.is(node.starts.length, 1);
});

// Guards against leases that lapse because a new owner has no catalog yet, or one without the pool.
test("a worker whose pool is dropped while its work runs is not asked any more", (t) => {
  const lease = { pool: UNNAMED, items: {}, stopping: false };
  const version = storeVersion(1);
  const node = new ReadingOwner({
    workers: [
      { type: "worker", version, report: unnamedReport("w1") },
      { type: "worker", version, report: unnamedReport("w2") },
    ],
    leases: [{ type: "lease", version, worker: unnamedReport("w1").id, lease }],
  });
  node.run(SETTLE_MS);
  t.deepEqual(workerIds(node), ["w1"]);
  t.is(node.lastPollOf("w1").worker, workerId("w1"));
  const catalog = { ...CATALOG, revision: 2 };
  node.readOperators({ type: "catalog", version: storeVersion(2), catalog });
  t.deepEqual([...(node.state.work?.owned?.setAside.keys() ?? [])], [workerId("w2")]);
});

// Guards against workers that are lost to an owner whose catalog is read after their registrations.
test("a registration that is read before the first catalog is lost, or keeps a pool of its own", (t) => {
  const node = new ReadingOwner();
  const { work } = node.state;
  t.truthy(work);
  if (work !== null) {
    work.catalog = null;
  }
  node.register(reportOf("w1", 100));
  node.register(unnamedReport("w2"));
  t.deepEqual(workerIds(node), ["w1", "w2"]);
  node.readOperators({ type: "catalog", version: storeVersion(2), catalog: CATALOG });
  node.run(FORGET_MS);
  t.deepEqual(workerIds(node), ["w1"]);
  nameMore(node, 3);
  t.deepEqual(workerIds(node), ["w1", "w2"]);
});
