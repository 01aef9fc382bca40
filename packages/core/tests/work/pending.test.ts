import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** No worker has room for it. */
const TOO_LARGE = workOf([stepOf(1, 5_000, [])]);

const ASK_MS = 50;

/** Asks every node, time and again; the site throws when too few are said to wait. */
const ask = (site: WorkSite): void => {
  site.nodes.forEach((_, node) => {
    site.askPending("mills", node);
  });
  site.at(ASK_MS, () => {
    ask(site);
  });
};

const ownerOf = (site: WorkSite): number =>
  site.nodes.findIndex(({ state }) => state.work?.owned?.active === true);

const answersOf = (site: WorkSite, kind: string): number => site.asked.get(`pending ${kind}`) ?? 0;

/** A site with four submissions that wait. */
const siteThatWaits = (): WorkSite => {
  const site = new WorkSite(5, 3, 2);
  site.run(2_000);
  for (let number = 0; number < 4; number += 1) {
    site.submit(idOf(number), "mills", TOO_LARGE, number);
  }
  site.run(6_000);
  return site;
};

test("a node refuses to tell what waits although all is calm", (t) => {
  const site = siteThatWaits();
  ask(site);
  site.run(5_000);
  t.is(answersOf(site, "unavailable"), 0);
  t.true(answersOf(site, "pending") >= 300);
});

test("nothing is said to wait while a successor loads for seconds", (t) => {
  const site = siteThatWaits();
  ask(site);
  site.run(500);
  site.scanMs = { handIns: 4_000 };
  site.kill(ownerOf(site), 60_000);
  site.run(8_000);
  t.true(answersOf(site, "unavailable") > 0);
  const before = answersOf(site, "pending");
  site.run(1_000);
  t.true(answersOf(site, "pending") >= before + 30);
});

test("an owner that hears of no new hand-ins says that nothing waits", (t) => {
  const site = new WorkSite(5, 3, 2);
  site.run(2_000);
  site.feedDownUntilMs = { handIns: site.nowMs + 10_000 };
  for (let number = 0; number < 4; number += 1) {
    site.submit(idOf(number), "mills", TOO_LARGE, (ownerOf(site) + 1) % 3);
  }
  ask(site);
  site.run(14_000);
  t.is(site.accepted.size, 4);
  t.true(answersOf(site, "unavailable") > 0);
  t.true(answersOf(site, "pending") > 0);
});
