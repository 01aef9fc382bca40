import test from "ava";
import { stepOf, workOf } from "./workSpecs.js";
import { WorkSite } from "./workSite.js";

const ID = "00000000000000aa";

test("an owner whose commit is confirmed after a suspension sends its start orders", (t) => {
  const site = new WorkSite(5, 2, 2);
  site.runDurationMs = 300;
  site.run(2_000);
  const owner = site.nodes.findIndex(({ state }) => state.work?.owned?.active === true);
  const before = site.nodes[owner]?.state.work?.owned?.fence;
  site.submit(ID, "mills", workOf([stepOf(1, 500, [])]), owner);
  while ((site.nodes[owner]?.state.work?.owned?.commitInFlight?.starts.length ?? 0) === 0) {
    site.run(1);
  }
  site.run(1);
  site.freeze(owner, 8_000);
  site.run(12_000);
  t.deepEqual(site.unfinished(), []);
  t.deepEqual(
    site.effects.filter((effect) => effect.type === "worker/start" && effect.fence === before),
    [],
  );
});
