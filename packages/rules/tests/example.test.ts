import { readFileSync } from "node:fs";
import test from "ava";
import { parseRules } from "../src/index.js";

test("the example file has a problem, or lacks a kind of rule", (t) => {
  const path = new URL("../../../../examples/san-vicente.rules", import.meta.url);
  const { rules, problems } = parseRules(readFileSync(path, "utf8"));
  t.deepEqual(problems, []);
  const { teams, keys, pools, queues, waves } = rules;
  t.deepEqual(
    [teams, keys, pools, queues, waves].map((rulesOfKind) => rulesOfKind.size),
    [6, 6, 5, 7, 3],
  );
});
