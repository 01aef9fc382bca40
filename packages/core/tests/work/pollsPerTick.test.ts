import test from "ava";
import type { Event } from "../../src/index.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

const WORKERS_PER_POOL = 100;

/** Records the most worker polls that the handling of one event sends. */
class CountingSite extends WorkSite {
  maxPolls = 0;

  protected override handle(node: SiteNode, event: Event): void {
    const before = this.polls();
    super.handle(node, event);
    this.maxPolls = Math.max(this.maxPolls, this.polls() - before);
  }

  polls(): number {
    return this.effects.filter(({ type }) => type === "worker/look").length;
  }
}

test("a new owner polls all workers in one tick and handles nothing else meanwhile", (t) => {
  const site = new CountingSite(5, 1, WORKERS_PER_POOL);
  site.run(400);
  t.true(site.polls() >= 2 * WORKERS_PER_POOL);
  t.true(site.maxPolls <= 40);
});
