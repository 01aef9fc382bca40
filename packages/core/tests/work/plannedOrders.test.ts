import { hostId } from "@heatherferry/common";
import test from "ava";
import type { StepSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const HOST = hostId("m-mills-0");

/** Returns a step whose items need so much memory that only one fits on a worker. */
const wideStep = (count: number): StepSpec => ({
  ...stepOf(count, 1_000, []),
  needs: { cpuMilli: 500, memoryMb: 6_000, gpus: 0 },
});

/**
 * Returns a site whose owner has just planned to turn a host off and has not yet stored the row
 * that records the host.
 */
const siteWithPlannedMove = (): WorkSite => {
  const site = new WorkSite(5, 1, 3);
  const isPlanned = (): boolean =>
    site.effects.some(
      (effect) =>
        effect.type === "log/write" &&
        effect.event === "host.moving" &&
        effect.fields.host === HOST,
    );
  while (!isPlanned()) {
    site.run(1);
  }
  return site;
};

const movesOf = (site: WorkSite): number =>
  site.effects.filter((effect) => effect.type === "power/move" && effect.host === HOST).length;

test("a worker gets no work for seconds after the planned move of its host was dropped", (t) => {
  const site = siteWithPlannedMove();
  site.runDurationMs = 10_000;
  site.writeAnswerMs = 1_300;
  site.run(1_400);
  site.writeAnswerMs = 4;
  t.is(movesOf(site), 0);
  site.submit("00000000000000aa", "mills", workOf([wideStep(3)]), 0);
  site.run(2_000);
  t.is(site.workers.get("mills-0")?.runs.size, 1);
});

test("a planned move is sent although the host got a new worker while the store refused writes", (t) => {
  const site = siteWithPlannedMove();
  site.writesRefusedUntilMs = site.nowMs + 2_500;
  site.run(100);
  site.rebootHost(HOST);
  site.run(2_600);
  t.is(movesOf(site), 0);
  t.truthy(site.hosts.get(HOST)?.worker);
});
