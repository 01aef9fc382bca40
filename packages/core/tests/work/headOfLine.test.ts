import test from "ava";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const LONG_RUNNING = "00000000000000aa";
const BORN = { startWallMs: 100 };

/** Time within which a start is planned, recorded and sent. */
const ORDER_MS = 80;

test("work that fits waits behind a dozen long-running submissions without capacity", (t) => {
  const node = new OwnerNode();
  node.register(reportOf("w0", 100));
  node.answerPoll(node.lastPollOf("w0"), BORN);
  node.submit(LONG_RUNNING, workOf([{ ...stepOf(1, 2_000, []), lasting: true }]));
  node.run(ORDER_MS);
  for (let number = 0; number < 12; number += 1) {
    const large = { ...stepOf(1, 3_000, []), lasting: true };
    node.submit(number.toString(16).padStart(16, "0"), workOf([large]));
  }
  const small = "00000000000000bb";
  node.submit(small, workOf([stepOf(1, 500, [])]));
  node.run(ORDER_MS);
  t.true(node.starts.some(({ item }) => item.startsWith(small)));
});
