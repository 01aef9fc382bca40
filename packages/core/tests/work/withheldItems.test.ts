import test from "ava";
import { itemKeyOf, submissionId, workerId } from "../../src/index.js";
import {
  withholdItem,
  releaseItems,
  type WithheldItems,
} from "../../src/work/ownership/withheldItems.js";

test("an item that two lease rows list is released together with the first of the workers", (t) => {
  const item = itemKeyOf(submissionId("00000000000000aa"), 0, 0, 1);
  const [first, second] = [workerId("w1"), workerId("w2")];
  for (const releasedFirst of [first, second]) {
    const held: WithheldItems = new Map();
    withholdItem(held, item, first);
    withholdItem(held, item, second);
    releaseItems(held, releasedFirst, [item]);
    t.true(held.has(item));
    releaseItems(held, releasedFirst === first ? second : first, [item]);
    t.false(held.has(item));
  }
});
