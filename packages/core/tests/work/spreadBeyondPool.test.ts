import test from "ava";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const LONG_RUNNING = "00000000000000aa";
const SHORT = "00000000000000bb";
const WORKERS = 3;

test("long-running work with more items than its pool has workers keeps short work from free capacity", (t) => {
  const node = new OwnerNode();
  for (let worker = 0; worker < WORKERS; worker += 1) {
    node.register(reportOf(`w${worker}`, 100, `10.0.0.${worker}:1`));
    node.answerPoll(node.nextPollOf(`w${worker}`), { startWallMs: 100 });
  }
  const lasting = { ...stepOf(20, 1_000, []), lasting: true, maxPerWorker: 1 };
  node.submit(LONG_RUNNING, workOf([lasting]));
  node.run(200);
  t.is(node.starts.length, WORKERS);
  node.submit(SHORT, workOf([stepOf(1, 500, [])]));
  node.run(1_000);
  t.true(node.starts.some(({ item }) => item.startsWith(SHORT)));
});
