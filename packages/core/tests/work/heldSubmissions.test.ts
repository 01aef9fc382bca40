import { teamId } from "@heatherferry/common";
import test from "ava";
import { HELD } from "../../src/work/constants.js";
import { indexCatalog } from "../../src/work/store/catalog.js";
import { heldFigures, openBytesOf } from "../../src/work/submissions/heldSubmissions.js";
import type { OwnedWork, Team } from "../../src/index.js";
import { OwnerNode } from "./ownerNode.js";
import { BOUNDS, CATALOG, TEAM_CEILING } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const NODES = 3;

/** One item that takes a whole worker. */
const WORK = workOf([stepOf(1, 4_000, [])]);

const ONE_BYTES = openBytesOf(WORK);

/** Submissions that the budget of the tests holds, and of which a team gets four fifths. */
const ROOM = 20;

const SUBMIT_INTERVAL_MS = 200;

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

const withBudget = (runDurationMs: number): WorkSite => {
  const site = new WorkSite(3, NODES, 2);
  site.runDurationMs = runDurationMs;
  for (const { state } of site.nodes) {
    if (state.work !== null) {
      state.work.heldBudgetBytes = ROOM * ONE_BYTES;
    }
  }
  site.run(3_000);
  return site;
};

const submitMany = (site: WorkSite, count: number): void => {
  for (let number = 1; number <= count; number += 1) {
    site.submit(idOf(number), "mills", WORK, number);
    site.run(SUBMIT_INTERVAL_MS);
  }
};

const ownerOf = (site: WorkSite): OwnedWork => {
  const owned = site.nodes.find(({ state }) => state.work?.owned?.active === true)?.state.work
    ?.owned;
  if (owned == null) {
    throw new Error("No node is the owner");
  }
  return owned;
};

const refusals = (site: WorkSite): number =>
  site.nodes.reduce(
    (sum, { state }) => sum + (state.work?.admission.refusals.byReason.memory ?? 0),
    0,
  );

test("submissions that no worker gets to take more memory than the owner has for them", (t) => {
  const site = withBudget(600_000);
  submitMany(site, 4 * ROOM);
  t.true(site.accepted.size >= 0.8 * ROOM && site.accepted.size <= ROOM);
  const unavailable = [...site.answers.values()].filter((kind) => kind === "unavailable");
  t.is(unavailable.length, 4 * ROOM - site.accepted.size);
  t.true(refusals(site) > 0);
  const { held, submissions } = ownerOf(site);
  t.is(submissions.size, site.accepted.size);
  t.is(held.bytes, submissions.size * ONE_BYTES);
});

test("a full owner refuses repeats, look-ups or cancels of what it has accepted", (t) => {
  const site = withBudget(600_000);
  submitMany(site, 2 * ROOM);
  const accepted = [...site.accepted.keys()];
  site.answerCounts.clear();
  accepted.forEach((id, index) => {
    site.submit(id, "mills", WORK, index);
    site.askState(id, index);
    site.cancel(id, index + 1);
  });
  site.run(2_000);
  const counts = [...site.answerCounts].filter(([kind]) => kind.endsWith("unavailable"));
  t.deepEqual(counts, []);
  t.is(site.answerCounts.get("cancel cancelled"), accepted.length);
});

test("submissions that have ended or are purged keep the memory of later ones", (t) => {
  const site = withBudget(100);
  submitMany(site, 2 * ROOM);
  t.is(refusals(site), 0);
  site.run(5_000);
  const { held, submissions } = ownerOf(site);
  t.true(held.bytes < submissions.size * ONE_BYTES);
  t.true([...submissions.values()].every(({ row }) => row.work.payload === ""));
  site.run(BOUNDS.statusRetentionMs + 60_000);
  t.deepEqual([ownerOf(site).held.bytes, ownerOf(site).held.byTeam.size], [0, 0]);
});

test("a new owner accepts submissions before it knows what it holds", (t) => {
  const site = withBudget(600_000);
  submitMany(site, 2 * ROOM);
  const before = site.accepted.size;
  site.scanAnswerMs = { handIns: 3_000 };
  const owner = site.nodes.findIndex(({ state }) => state.work?.owned != null);
  site.kill(owner, 60_000);
  for (let number = 0; number < ROOM; number += 1) {
    site.submit(idOf(1_000 + number), "mills", WORK, owner + 1);
    site.run(SUBMIT_INTERVAL_MS);
  }
  t.is(site.accepted.size, before);
});

test("a team takes the memory that others are entitled to", (t) => {
  const { work } = new OwnerNode().state;
  if (work?.owned == null) {
    throw new Error("The node is not the owner");
  }
  const { owned } = work;
  const teamOf = (name: string, weight: number): Team => ({
    id: teamId(name),
    keys: [],
    weight,
    ceiling: TEAM_CEILING,
  });
  work.catalog = { ...CATALOG, teams: [teamOf("small", 1), teamOf("large", 3)] };
  work.catalogIndex = indexCatalog(work.catalog);
  work.heldBudgetBytes = 1_000;
  const figuresWith = (small: number, large: number): unknown => {
    owned.held.bytes = small + large;
    owned.held.byTeam.set(teamId("small"), small);
    owned.held.byTeam.set(teamId("large"), large);
    return heldFigures(work, owned);
  };
  t.is(figuresWith(300, 250), null);
  t.deepEqual(figuresWith(400, 300), { teams: ["small"] });
  t.deepEqual(figuresWith(0, 760), { teams: ["large"] });
  t.deepEqual(figuresWith(50, 900), { teams: ["large"] });
  t.deepEqual(figuresWith(200, 700), { teams: ["large", "small"] });
});

/** The largest deployment: submissions a second, their size, and how long they wait. */
const LARGEST = { PER_S: 48, PAYLOAD_BYTES: 2_400, WAIT_S: 20 } as const;

test("a fleet whose teams keep to their rates meets the limit", (t) => {
  const { OPEN_BYTES, STEP_BYTES, ITEM_BYTES, ENDED_BYTES, MAX_COUNTED_ITEMS } = HELD;
  const oneOpen =
    OPEN_BYTES + LARGEST.PAYLOAD_BYTES + 2 * STEP_BYTES + MAX_COUNTED_ITEMS * ITEM_BYTES;
  const retentionS = BOUNDS.statusRetentionMs / 1_000;
  const bytes = LARGEST.PER_S * (LARGEST.WAIT_S * oneOpen + retentionS * ENDED_BYTES);
  t.true(bytes < HELD.SHARES_APPLY_FROM * HELD.DEFAULT_BUDGET_BYTES, `${bytes} bytes`);
});
