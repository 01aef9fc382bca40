import { poolId } from "@heatherferry/common";
import test, { type ExecutionContext } from "ava";
import { storeVersion, type Commit, type StoreRow, type SubmissionId } from "../../src/index.js";
import { submissionRowOf } from "./ownerNode.js";
import { BOUNDS } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";
const POOL = poolId("mills");
const WORK = workOf([stepOf(2, 500, [])]);

/** How late the store carries out a write that it hasn't answered. */
const WRITE_DELAY_MS = 2_000;

/** Longest time that the looks at the store and the writes of a cancel take. */
const CANCEL_MS = 100;

/** Time after the end of the retention within which the rows are purged. */
const PURGED_AFTER_MS = 60_000;

/** Returns a site whose store has not carried out the hand-in that node 0 has sent. */
const siteWithLateHandIn = (): WorkSite => {
  const site = new WorkSite(5, 3, 3);
  site.runDurationMs = 300;
  site.run(2_000);
  site.handInDelayMs = WRITE_DELAY_MS;
  site.submit(ID, POOL, WORK, 0);
  site.run(CANCEL_MS);
  return site;
};

const answersOf = (site: WorkSite, call: string): string[] =>
  [...site.answers].filter(([callId]) => callId.startsWith(call)).map(([, kind]) => kind);

const rowsOf = (site: WorkSite): readonly StoreRow[] => site.store.lookUp(ID as SubmissionId);

/** Checks that a submission was cancelled before it was stored, and runs on. */
const assertNeverRuns = (t: ExecutionContext, site: WorkSite): void => {
  t.deepEqual(answersOf(site, "cancel"), ["gone"]);
  site.run(WRITE_DELAY_MS + 5_000);
  t.is(site.starts, 0);
  t.false(rowsOf(site).some(({ type }) => type === "handIn"));
};

// Guards against UNASKED: a hand-in that the store carries out late brings a submission to life
// whose cancel was answered with "no such submission".
for (const [node, which] of [
  [1, "at another node"],
  [0, "at the node that stores it"],
] as const) {
  test(`a submission runs that was cancelled ${which} before it was stored`, (t) => {
    const site = siteWithLateHandIn();
    site.cancelUnanswered(ID, POOL, node);
    site.run(CANCEL_MS);
    assertNeverRuns(t, site);
  });
}

test("a submission runs that was cancelled before it was stored, under the next owner", (t) => {
  const site = siteWithLateHandIn();
  site.cancelUnanswered(ID, POOL, 1);
  site.run(CANCEL_MS);
  [0, 1, 2].forEach((node) => {
    site.kill(node, 300);
  });
  assertNeverRuns(t, site);
});

test("a repeated hand-in runs after its cancel was answered", (t) => {
  const site = siteWithLateHandIn();
  site.cancelUnanswered(ID, POOL, 1);
  site.run(CANCEL_MS);
  site.handInDelayMs = null;
  site.submit(ID, POOL, WORK, 2);
  site.run(CANCEL_MS);
  t.true(answersOf(site, ID).includes("gone"));
  assertNeverRuns(t, site);
});

test("a submission runs that was stored while its cancel looked for it", (t) => {
  const site = siteWithLateHandIn();
  site.run(WRITE_DELAY_MS - CANCEL_MS - 1);
  site.cancelUnanswered(ID, POOL, 1);
  site.run(CANCEL_MS);
  t.deepEqual(answersOf(site, "cancel"), ["cancelled"]);
  t.deepEqual(
    rowsOf(site).map(({ type }) => type),
    ["handIn", "cancel", "progress"],
  );
  site.run(5_000);
  t.deepEqual(site.runningAfterCancel(), []);
  t.true(rowsOf(site).some((row) => row.type === "progress" && row.progress.state === "cancelled"));
});

/** A hand-in by an earlier version of this system, which does not look for a cancel. */
const EARLIER_HAND_IN: Commit = {
  commitId: "earlier",
  conditions: [{ row: { type: "handIn", id: ID as SubmissionId }, version: storeVersion(0) }],
  writes: [{ type: "handIn", submission: submissionRowOf(ID, WORK) }],
  removes: [],
};

for (const ownerChanges of [false, true]) {
  const owner = ownerChanges ? "the next owner" : "the same owner";
  test(`${owner} runs what an earlier version stores after its cancel`, (t) => {
    const site = siteWithLateHandIn();
    site.cancelUnanswered(ID, POOL, 1);
    site.run(CANCEL_MS);
    if (ownerChanges) {
      [0, 1, 2].forEach((node) => {
        site.kill(node, 300);
      });
      site.run(5_000);
    }
    t.is(site.store.commit(EARLIER_HAND_IN), null);
    site.run(5_000);
    t.is(site.starts, 0);
  });
}

test("the cancel of a submission that is never stored stays in the store for good", (t) => {
  const site = siteWithLateHandIn();
  site.cancelUnanswered(ID, POOL, 1);
  site.run(BOUNDS.statusRetentionMs);
  t.deepEqual(
    rowsOf(site).map(({ type }) => type),
    ["cancel"],
  );
  site.run(PURGED_AFTER_MS);
  t.deepEqual(rowsOf(site), []);
  site.handInDelayMs = null;
  site.submit(ID, POOL, WORK, 0);
  site.run(2_000);
  t.is(site.starts, 2);
});
