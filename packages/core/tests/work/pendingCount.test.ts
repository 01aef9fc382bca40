import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** Needs more processor time than any worker has. */
const TOO_LARGE = workOf([stepOf(1, 5_000, [])]);

const ASK_INTERVAL_MS = 50;

/**
 * Asks every node for the pending count at a fixed interval. The simulated installation throws if a
 * count is too low.
 */
const askRepeatedly = (site: WorkSite): void => {
  site.nodes.forEach((_, node) => {
    site.askPending("mills", node);
  });
  site.schedule(ASK_INTERVAL_MS, () => {
    askRepeatedly(site);
  });
};

const ownerOf = (site: WorkSite): number =>
  site.nodes.findIndex(({ state }) => state.work?.owned?.active === true);

const answersOf = (site: WorkSite, kind: string): number =>
  site.answerCounts.get(`pending ${kind}`) ?? 0;

/** Creates an installation with four pending submissions. */
const siteWithPending = (): WorkSite => {
  const site = new WorkSite(5, 3, 2);
  site.run(2_000);
  for (let number = 0; number < 4; number += 1) {
    site.submit(idOf(number), "mills", TOO_LARGE, number);
  }
  site.run(6_000);
  return site;
};

test("a node gives no pending count although there are no faults", (t) => {
  const site = siteWithPending();
  askRepeatedly(site);
  site.run(5_000);
  t.is(answersOf(site, "unavailable"), 0);
  t.true(answersOf(site, "pending") >= 300);
});

test("the pending count is too low while a new owner loads its tables for seconds", (t) => {
  const site = siteWithPending();
  askRepeatedly(site);
  site.run(500);
  site.scanMs = { handIns: 4_000 };
  site.kill(ownerOf(site), 60_000);
  site.run(8_000);
  t.true(answersOf(site, "unavailable") > 0);
  const before = answersOf(site, "pending");
  site.run(1_000);
  t.true(answersOf(site, "pending") >= before + 30);
});

test("an owner that receives no new submissions gives a pending count that is too low", (t) => {
  const site = new WorkSite(5, 3, 2);
  site.run(2_000);
  site.feedDownUntilMs = { handIns: site.nowMs + 10_000 };
  for (let number = 0; number < 4; number += 1) {
    site.submit(idOf(number), "mills", TOO_LARGE, (ownerOf(site) + 1) % 3);
  }
  askRepeatedly(site);
  site.run(14_000);
  t.is(site.accepted.size, 4);
  t.true(answersOf(site, "unavailable") > 0);
  t.true(answersOf(site, "pending") > 0);
});
