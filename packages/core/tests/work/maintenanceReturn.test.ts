import { hostId } from "@heatherferry/common";
import test from "ava";
import { storeVersion } from "../../src/index.js";
import { reportOf } from "./ownerNode.js";
import { WorkSite } from "./workSite.js";

const HOSTS = [hostId("m-spare-0"), hostId("m-spare-1")];

/** Time until the registration of a removed worker expires. */
const REGISTRATION_EXPIRY_MS = 4_500;

const maintenanceOrders = (site: WorkSite): number =>
  site.effects.filter(({ type }) => type === "power/upkeep").length;

const runUntilNextOrder = (site: WorkSite): void => {
  const ordersBefore = maintenanceOrders(site);
  while (maintenanceOrders(site) === ordersBefore) {
    site.run(1);
  }
};

/**
 * Returns a site whose owner has just sent the first order of a wave with one host at a time.
 *
 * @param prepare - Sets the site up before the wave is requested.
 */
const siteInWave = (prepare: (site: WorkSite) => void = () => undefined): WorkSite => {
  const site = new WorkSite(5, 1, 3, 2);
  site.run(2_000);
  prepare(site);
  const request = { wave: 1, hosts: HOSTS, durationMs: 30_000, maxHostsOut: 1 };
  site.store.put("wave 1", { type: "wave", version: storeVersion(0), request });
  runUntilNextOrder(site);
  return site;
};

/** Registers a worker that the first host no longer runs, until its registration expires. */
const registerStaleWorker = (site: WorkSite): void => {
  const report = { ...reportOf("left", 0, "10.9.0.1:1"), host: HOSTS[0] ?? null };
  site.store.put("worker left", { type: "worker", version: storeVersion(0), report });
  site.schedule(REGISTRATION_EXPIRY_MS, () => {
    site.store.removeWorker(report.id);
  });
};

const maintenancesOf = (site: WorkSite): (number | undefined)[] =>
  HOSTS.map((host) => site.hosts.get(host)?.maintenances);

test("a host counts as back from maintenance because of a stale registration", (t) => {
  const site = siteInWave();
  registerStaleWorker(site);
  site.run(20_000);
  t.is(site.maxInMaintenance, 1);
  t.deepEqual(maintenancesOf(site), [1, 1]);
});

test("the return of a host is expected after a lost order instead of the one it carried out", (t) => {
  const site = siteInWave((prepared) => {
    HOSTS.forEach((host) => prepared.hostsLosingOrders.add(host));
  });
  site.run(2_500);
  site.hostsLosingOrders.clear();
  runUntilNextOrder(site);
  registerStaleWorker(site);
  site.run(20_000);
  t.is(site.maxInMaintenance, 1);
  t.deepEqual(maintenancesOf(site), [1, 1]);
});

test("a maintenance wave counts a host as done that host lists left out for a few seconds", (t) => {
  const site = siteInWave((prepared) => {
    HOSTS.slice(1).forEach((host) => prepared.unlistedHosts.add(host));
    prepared.run(5_000);
  });
  site.run(1_500);
  site.unlistedHosts.clear();
  site.run(20_000);
  t.deepEqual(maintenancesOf(site), [1, 1]);
});
