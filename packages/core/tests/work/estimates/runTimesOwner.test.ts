import { rackId } from "@heatherferry/common";
import test from "ava";
import {
  END_KIND,
  itemKeyOf,
  RUN_TIMES_ROW,
  storeVersion,
  submissionId,
  type Resources,
  type RowToWrite,
  type RunTimesRow,
  type StepSpec,
} from "../../../src/index.js";
import { reportOf, submissionRowOf } from "../ownerNode.js";
import { stepOf, workOf } from "../workSpecs.js";
import { ESTIMATE_MS, FIRST_INCARNATION, idOf, LearningOwner, RUN_MS } from "./learningOwner.js";

/** Errors of the tests' polls and of rounding. */
const TOLERANCE_MS = 60;

const LARGE_CAPACITY: Resources = { cpuMilli: 16_000, memoryMb: 10_000, gpus: 0 };

/** Three times the longest target duration, after which a submission has expired. */
const EXPIRY_MS = 3 * (2 * ESTIMATE_MS + 500);

const isNear = (actualMs: number | undefined, wantedMs: number): boolean =>
  Math.abs((actualMs ?? NaN) - wantedMs) <= TOLERANCE_MS;

test("an owner orders, dates and logs by an estimate that it knows to be five times too high", (t) => {
  const node = new LearningOwner().begin();
  for (let number = 0; number < 12; number += 1) {
    node.runOne();
  }
  const atMs = node.nowMs;
  node.startOne();
  const submission = node.submission(13);
  const [pathMs] = submission?.criticalPathsMs ?? [];
  t.true(isNear(pathMs, RUN_MS), `critical path of ${pathMs} ms`);
  const occurrence = submission?.occurrences.get(0);
  const targetMs = (occurrence?.dueAtMs ?? NaN) - (occurrence?.startMs ?? NaN);
  t.true(targetMs < 2 * RUN_MS + 500 + 2 * TOLERANCE_MS, `due after ${targetMs} ms`);
  const line = node.logged("run.ordered").at(-1);
  t.true(isNear(Number(line?.fields.expectedMs), RUN_MS));
  t.is(line?.fields.estimateEnds, 12);
  t.is(line?.fields.callerEstimateMs, ESTIMATE_MS);
  t.is(line?.fields.estimateKind, "step mills lots 0");
  t.true(Number(line?.fields.estimateAgeMs) <= node.nowMs - atMs + 700);
});

test("a log line of a start calls the caller's estimate a learned figure", (t) => {
  const node = new LearningOwner().begin();
  node.startOne();
  const fields = node.logged("run.ordered").at(-1)?.fields ?? {};
  t.is(fields.expectedMs, ESTIMATE_MS);
  t.is(fields.estimateEnds, 0);
  t.false("estimateAgeMs" in fields || "estimateKind" in fields);
});

for (const how of Object.values(END_KIND).filter((kind) => kind !== END_KIND.DONE)) {
  test(`a run that ended as ${how} counts as a run time`, (t) => {
    const node = new LearningOwner().begin();
    node.runOne(how);
    t.is(node.observedEnds, 0);
  });
}

test("a run that was resumed from a checkpoint counts as a whole run time", (t) => {
  const node = new LearningOwner().begin();
  node.runOne("stopped", "half");
  const resumed = node.nextStart(1);
  t.is(resumed.checkpoint, "half");
  node.answerStart(resumed, "started");
  node.run(RUN_MS);
  node.end(resumed, "done");
  t.is(node.observedEnds, 0);
});

test("a run that was under way before a suspension counts by the clock that stood still", (t) => {
  const node = new LearningOwner().begin();
  const start = node.startOne();
  node.answerStart(start, "started");
  node.run(100);
  const work = node.state.work;
  t.truthy(work);
  if (work !== null) {
    work.clockJumpedAtMs = node.nowMs;
  }
  node.run(200);
  node.end(start, "done");
  t.is(node.observedEnds, 0);
});

test("a run that a previous owner ordered counts from when this one heard of it", (t) => {
  const node = new LearningOwner({
    handIns: [
      {
        type: "handIn",
        version: storeVersion(1),
        submission: submissionRowOf(idOf(1), workOf([stepOf(1, 500, [])])),
      },
    ],
  });
  node.register(reportOf("w", 100));
  const item = itemKeyOf(submissionId(idOf(1)), 0, 0, 0);
  const running = [{ item, run: 1, checkpoint: "", percent: 10, load: null }];
  node.answerPoll(node.nextPollOf("w"), { ...FIRST_INCARNATION, running });
  node.run(100);
  t.is(node.logged("run.adopted").length, 1);
  node.endRun(item, 1, "done");
  t.is(node.observedEnds, 0);
});

/** Has the items of one submission run and end as done, and returns how many run times count. */
const countAfterEnds = (step: StepSpec, workerRack: string): number => {
  const node = new LearningOwner();
  node.register({ ...reportOf("w", 100), rack: rackId(workerRack) });
  node.poll();
  node.submit(idOf(1), workOf([step]));
  const starts = Array.from({ length: step.count }, (_, index) => node.nextStart(index));
  starts.forEach((start) => {
    node.answerStart(start, "started");
  });
  node.run(RUN_MS);
  starts.forEach((start) => {
    node.end(start, "done");
  });
  return node.observedEnds;
};

test("a run away from its data counts as one beside it", (t) => {
  const step = { ...stepOf(1, 500, []), preferredRack: rackId("r7") };
  t.is(countAfterEnds(step, "r7"), 1);
  t.is(countAfterEnds(step, "r8"), 0);
});

test("each member of a gang counts as a run, or the run of a filler counts", (t) => {
  const gang = { ...stepOf(3, 500, []), gang: true, rackLocal: true };
  t.is(countAfterEnds(gang, "r"), 1);
  t.is(countAfterEnds({ ...stepOf(1, 500, []), filler: true }, "r"), 0);
});

test("what waits keeps a wrong critical path and deadline when its rank is looked at again", (t) => {
  const node = new LearningOwner().begin();
  const large = { ...reportOf("v", 100, "10.0.0.2:1"), capacity: LARGE_CAPACITY };
  node.register(large);
  // Fits only on the second worker, which never answers a poll, so it waits.
  const work = workOf([{ ...stepOf(1, 9_000, []), estimateMs: ESTIMATE_MS }]);
  node.submit(idOf(500), { ...work, payload: "waits" });
  for (let number = 0; number < 12; number += 1) {
    node.runOne();
  }
  const before = node.submission(500);
  t.deepEqual(before?.criticalPathsMs, [ESTIMATE_MS]);
  node.run(EXPIRY_MS);
  const submission = node.submission(500);
  const [pathMs] = submission?.criticalPathsMs ?? [];
  t.true(isNear(pathMs, RUN_MS), `critical path of ${pathMs} ms`);
  const occurrence = submission?.occurrences.get(0);
  const targetMs = (occurrence?.dueAtMs ?? NaN) - (occurrence?.startMs ?? NaN);
  t.true(targetMs < 2 * RUN_MS + 500 + 2 * TOLERANCE_MS, `due after ${targetMs} ms`);
});

test("the row of run times is written more often than its interval or sends commits", (t) => {
  const node = new LearningOwner().begin();
  for (let number = 0; number < 20; number += 1) {
    node.runOne();
  }
  const rows = node.writtenRunTimes();
  const firstAtMs = rows[0]?.writtenWallMs ?? NaN;
  t.true(
    rows.length >= 1 && rows.length <= 1 + (node.nowMs - firstAtMs) / 10_000,
    `${rows.length}`,
  );
  const owners = node.writtenRows.filter(({ type }) => type === "owner").length;
  t.true(rows.length < owners);
});

test("an owner that learns nothing new writes the row again", (t) => {
  const node = new LearningOwner().begin();
  node.runOne();
  node.run(RUN_TIMES_ROW.WRITE_INTERVAL_MS);
  const { length } = node.writtenRunTimes();
  node.run(3 * RUN_TIMES_ROW.WRITE_INTERVAL_MS);
  t.is(length, 1);
  t.is(node.writtenRunTimes().length, 1);
});

test("an owner that shuts down keeps what it learned last to itself", (t) => {
  const node = new LearningOwner().begin();
  node.runOne();
  node.run(200);
  const { length } = node.writtenRunTimes();
  for (let number = 0; number < 3; number += 1) {
    node.runOne();
  }
  t.is(node.writtenRunTimes().length, length);
  node.handle({ type: "node/shutdownRequested" });
  node.run(200);
  t.is(node.state.work?.owned ?? null, null);
  t.is(node.writtenRunTimes().at(-1)?.levels.at(-1)?.[0]?.samples.length, 4);
});

const learnedRow = (): RunTimesRow => {
  const node = new LearningOwner().begin();
  for (let number = 0; number < 12; number += 1) {
    node.runOne();
  }
  return node.estimates.toRow(node.nowMs, node.nowMs);
};

test("a new owner expects the first submission to take as long as its caller says", (t) => {
  const row = learnedRow();
  const node = new LearningOwner({
    progress: [{ type: "runTimes", version: storeVersion(1), row }],
  }).begin();
  node.startOne();
  const [pathMs] = node.submission(1)?.criticalPathsMs ?? [];
  t.true(isNear(pathMs, RUN_MS), `critical path of ${pathMs} ms`);
});

test("a new owner that finds a row of nonsense does not become active", (t) => {
  const row = { form: RUN_TIMES_ROW.FORM, writtenWallMs: 0, levels: [[{ key: 3 }], null] };
  const node = new LearningOwner({
    progress: [{ type: "runTimes", version: storeVersion(1), row: row as unknown as RunTimesRow }],
  }).begin();
  node.startOne();
  t.deepEqual(node.submission(1)?.criticalPathsMs, [ESTIMATE_MS]);
});

test("a store that rejects the row keeps ends of runs from being stored", (t) => {
  const node = new LearningOwner().begin();
  const isRunTimes = ({ type }: RowToWrite): boolean => type === "runTimes";
  node.rejectionOf = ({ writes }) => (writes.some(isRunTimes) ? "ROW: not this one" : null);
  for (let number = 0; number < 4; number += 1) {
    node.runOne();
  }
  node.run(500);
  t.is(node.writtenRunTimes().length, 0);
  t.is(node.rejections.length, 1);
  const completed = node.writtenRows.filter(
    (row) => row.type === "progress" && row.progress.state === "completed",
  );
  t.is(completed.length, 4);
  node.rejectionOf = () => null;
  node.run(RUN_TIMES_ROW.RETRY_MS);
  t.is(node.writtenRunTimes().length, 1);
});
