import test from "ava";
import { START_RESULT } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const FIRST_INCARNATION = { startWallMs: 100 };

/** Time within which work is planned, persisted and ordered. */
const ORDER_MS = 80;

test("a worker gets no work for a second after its owner was too busy to send an order", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w0", 100));
  node.answerPoll(node.lastPollOf("w0"), FIRST_INCARNATION);
  node.submit("00000000000000aa", workOf([stepOf(1, 500, [])]));
  node.run(ORDER_MS);
  const [start] = node.starts;
  t.truthy(start);
  if (start !== undefined) {
    node.answerStart(start, START_RESULT.DELAYED);
  }
  node.run(ORDER_MS);
  t.is(node.starts.length, 2);
  node.submit("00000000000000bb", workOf([stepOf(1, 500, [])]));
  node.run(ORDER_MS);
  t.is(node.starts.length, 3);
});
