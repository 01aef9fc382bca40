import test from "ava";
import { START_RESULT, echoedTarget, type Effect } from "../../src/index.js";
import type { SiteNode } from "./siteStore.js";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

type WorkerOrder = Extract<Effect, { type: "worker/start" | "worker/stop" | "worker/look" }>;

/** The first start order of each item reaches its worker; resent ones fail to leave the owner. */
class SiteWithUnsentResends extends WorkSite {
  /** Time before which polls don't reach workers. */
  pollsFromMs = 0;
  private readonly sent = new Set<string>();

  protected override sendOrder(node: SiteNode, order: WorkerOrder, sentAtMs: number): void {
    if (order.type === "worker/look" && this.nowMs < this.pollsFromMs) {
      this.schedule(this.pollsFromMs - this.nowMs, () => {
        super.sendOrder(node, order, sentAtMs);
      });
      return;
    }
    if (order.type !== "worker/start" || !this.sent.has(order.item)) {
      this.sent.add(order.type === "worker/start" ? order.item : "");
      super.sendOrder(node, order, sentAtMs);
      return;
    }
    const { item, run } = order;
    this.answerLater(node, 5, {
      type: "worker/startAnswered",
      ...echoedTarget(order),
      item,
      run,
      result: START_RESULT.NOT_SENT,
      reason: "no connection was free in time",
      clockMs: null,
      atMs: 0,
    });
  }
}

test("a running item is stopped because a resent start order never left the owner", (t) => {
  const site = new SiteWithUnsentResends(5, 1, 3);
  site.runDurationMs = 2_000;
  site.run(2_000);
  site.startsToLose = 1;
  site.pollsFromMs = site.nowMs + 900;
  site.submit("00000000000000aa", "mills", workOf([stepOf(1, 500, [])]), 0);
  site.run(6_000);
  t.deepEqual(
    site.effects.filter(({ type }) => type === "worker/stop"),
    [],
  );
  t.is(site.starts, 1);
  t.deepEqual(site.unfinished(), []);
});
