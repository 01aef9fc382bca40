import test from "ava";
import type { Event } from "../../src/index.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

const WORKERS_PER_POOL = 100;

/** Counts the looks at workers that one event brings about. */
class CountingSite extends WorkSite {
  mostLooks = 0;

  protected override handle(node: SiteNode, event: Event): void {
    const before = this.looks();
    super.handle(node, event);
    this.mostLooks = Math.max(this.mostLooks, this.looks() - before);
  }

  looks(): number {
    return this.effects.filter(({ type }) => type === "worker/look").length;
  }
}

test("a new owner looks at all workers in one turn, so that nothing else is done meanwhile", (t) => {
  const site = new CountingSite(5, 1, WORKERS_PER_POOL);
  site.run(400);
  t.true(site.looks() >= 2 * WORKERS_PER_POOL);
  t.true(site.mostLooks <= 40);
});
