import test from "ava";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const LASTING = "00000000000000aa";
const BORN = { bornWallMs: 100 };

/** Work is planned, written and ordered within this time. */
const ORDER_MS = 80;

test("work that fits waits behind a dozen submissions that find no room", (t) => {
  const node = new OwnerNode();
  node.list(reportOf("w0", 100));
  node.answerLook(node.lookAt("w0"), BORN);
  node.submit(LASTING, workOf([{ ...stepOf(1, 2_000, []), lasting: true }]));
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
