import fc from "fast-check";
import test from "ava";
import { storeVersion, type StoreRow, type Worker } from "../../src/index.js";
import { CapacityIndex } from "../../src/work/placement/capacityIndex.js";
import { OwnerNode, reportOf, submissionRowOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const BUCKET_MILLI = 1_000;

/** Most memory that the index of one worker may take, whatever capacity the worker reports. */
const MAX_GROWTH_BYTES = 50_000_000;

const SETTLE_MS = 400;

const workerWith = (name: number, cpuMilli: number): Worker => {
  const report = reportOf(`w${name}`, 1);
  return {
    report: { ...report, capacity: { ...report.capacity, cpuMilli } },
    usedCpuMilli: 0,
    longRunningRuns: 0,
    capacityIndex: null,
  } as Worker;
};

/** Returns the workers that may have `cpuMilli` free, by comparing all of them. */
const sortedByRoom = (workers: readonly Worker[], cpuMilli: number): readonly number[] =>
  workers
    .map(({ report, usedCpuMilli }) =>
      Math.floor(Math.max(0, report.capacity.cpuMilli - usedCpuMilli) / BUCKET_MILLI),
    )
    .filter((bucket) => bucket >= Math.floor(cpuMilli / BUCKET_MILLI))
    .sort((one, other) => one - other);

const bucketsOf = (workers: Iterable<Worker>): readonly number[] =>
  [...workers].map(({ report, usedCpuMilli }) =>
    Math.floor(Math.max(0, report.capacity.cpuMilli - usedCpuMilli) / BUCKET_MILLI),
  );

// Guards against an owner that runs out of memory on a capacity in another unit.
test("the capacity that a worker reports decides how much memory its index takes", (t) => {
  const index = new CapacityIndex();
  const before = process.memoryUsage().heapUsed;
  index.add(workerWith(1, 1e9));
  t.true(process.memoryUsage().heapUsed - before < MAX_GROWTH_BYTES);
  t.is([...index.withFreeCpu(1_000)].length, 1);
});

// Guards against an owner that hangs on an item whose needs are below zero.
test("the processor time that an item needs decides how long a search takes", (t) => {
  const index = new CapacityIndex();
  const worker = workerWith(1, 4_000);
  index.add(worker);
  t.deepEqual([...index.withFreeCpu(-1e15)], [worker]);
  t.deepEqual([...index.withFreeCpu(1e300)], []);
});

// Guards against figures at which the next whole number is not representable.
test("workers with capacities beyond all whole numbers are lost, or found without end", (t) => {
  const index = new CapacityIndex();
  const workers = [1e18, 1e300, Number.MAX_VALUE].map((cpuMilli, name) =>
    workerWith(name, cpuMilli),
  );
  [...workers].reverse().forEach((worker) => {
    index.add(worker);
  });
  t.deepEqual([...index.withFreeCpu(1_000)], workers);
  workers.forEach((worker) => {
    index.delete(worker);
  });
  t.deepEqual([...index.withFreeCpu(0)], []);
});

test("workers are not found fullest first, or not all of them, as their room changes", (t) => {
  const capacity = fc.oneof(fc.integer({ min: 0, max: 64_000 }), fc.constantFrom(1e9, 1e15, 0));
  fc.assert(
    fc.property(
      fc.array(capacity, { minLength: 1, maxLength: 20 }),
      fc.array(fc.tuple(fc.nat(), fc.integer({ min: -9_000, max: 70_000 })), { maxLength: 60 }),
      fc.integer({ min: -5_000, max: 70_000 }),
      (capacities, changes, needMilli) => {
        const index = new CapacityIndex();
        const workers = capacities.map((cpuMilli, name) => workerWith(name, cpuMilli));
        workers.forEach((worker) => {
          index.add(worker);
        });
        for (const [which, usedCpuMilli] of changes) {
          const worker = workers[which % workers.length];
          if (worker !== undefined) {
            worker.usedCpuMilli = usedCpuMilli;
            index.update(worker);
          }
        }
        t.deepEqual(bucketsOf(index.withFreeCpu(needMilli)), sortedByRoom(workers, needMilli));
      },
    ),
    { seed: 61, numRuns: 500 },
  );
});

// Guards against owners that end one after the other on a registration in another unit.
test("a registration with capacity in another unit keeps work from the other workers", (t) => {
  const version = storeVersion(1);
  const foreign = reportOf("foreign", 1, "10.0.0.9:1");
  const rows: readonly StoreRow[] = [
    { type: "worker", version, report: reportOf("w1", 1) },
    {
      type: "worker",
      version,
      report: { ...foreign, capacity: { ...foreign.capacity, cpuMilli: 32e9 } },
    },
  ];
  const submission = submissionRowOf("0".repeat(16), workOf([stepOf(1, 500, [])]));
  const node = new OwnerNode({
    workers: rows,
    handIns: [{ type: "handIn", version, submission }],
  });
  node.run(SETTLE_MS);
  node.polls
    .filter(({ worker }) => worker === "w1")
    .forEach((poll) => {
      node.answerPoll(poll, { startWallMs: 1 });
    });
  node.run(SETTLE_MS);
  t.deepEqual(
    node.starts.map(({ worker }) => worker),
    ["w1"],
  );
});
