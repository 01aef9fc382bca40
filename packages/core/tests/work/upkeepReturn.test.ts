import { hostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion } from "../../src/index.js";
import { reportOf } from "./ownerNode.js";
import { WorkSite } from "./workSite.js";

const HOSTS = [hostId("m-spare-0"), hostId("m-spare-1")];

/** How long the entry of a worker that is gone stays listed. */
const ENTRY_KEPT_MS = 4_500;

const upkeepOrders = (site: WorkSite): number =>
  site.effects.filter(({ type }) => type === "power/upkeep").length;

const runUntilNextOrder = (site: WorkSite): void => {
  const before = upkeepOrders(site);
  while (upkeepOrders(site) === before) {
    site.run(1);
  }
};

/** A site whose owner has just ordered the first host of a wave down, one host at a time. */
const siteInWave = (prepare: (site: WorkSite) => void = () => undefined): WorkSite => {
  const site = new WorkSite(5, 1, 3, 2);
  site.run(2_000);
  prepare(site);
  const request = { wave: 1, hosts: HOSTS, durationMs: 30_000, mostOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  runUntilNextOrder(site);
  return site;
};

/** The entry of a worker that the first host ran before comes late. */
const listLeftOver = (site: WorkSite): void => {
  const report = { ...reportOf("left", 0, "10.9.0.1:1"), host: HOSTS[0] ?? null };
  site.store.put("worker left", { type: "worker", version: storeVersion(0), report });
  site.at(ENTRY_KEPT_MS, () => {
    site.store.workerGone(report.id);
  });
};

const upkeepsOf = (site: WorkSite): (number | undefined)[] =>
  HOSTS.map((host) => site.hosts.get(host)?.upkeeps);

test("a host counts as back from upkeep once a left-over entry of it shows up", (t) => {
  const site = siteInWave();
  listLeftOver(site);
  site.run(20_000);
  t.is(site.mostInUpkeep, 1);
  t.deepEqual(upkeepsOf(site), [1, 1]);
});

test("a host counts as back since its first order got lost long before the one it obeyed", (t) => {
  const site = siteInWave((lossy) => {
    HOSTS.forEach((host) => lossy.lostOrders.add(host));
  });
  site.run(2_500);
  site.lostOrders.clear();
  runUntilNextOrder(site);
  listLeftOver(site);
  site.run(20_000);
  t.is(site.mostInUpkeep, 1);
  t.deepEqual(upkeepsOf(site), [1, 1]);
});

test("a wave counts a host as done that one list has missed", (t) => {
  const site = siteInWave((young) => {
    HOSTS.slice(1).forEach((host) => young.hiddenHosts.add(host));
    young.run(5_000);
  });
  site.run(1_500);
  site.hiddenHosts.clear();
  site.run(20_000);
  t.deepEqual(upkeepsOf(site), [1, 1]);
});
