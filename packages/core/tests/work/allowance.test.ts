import test from "ava";
import { takeAllowance } from "../../src/work/allowance.js";

test("a team that sends many times its weight keeps others' turns", (t) => {
  const allowance = { left: 10, atMs: 0 };
  const within = Array.from({ length: 300 }, (_, index) =>
    takeAllowance(allowance, 10, index * 10),
  );
  // 3 s at 10 a second, and the burst that was saved up.
  t.is(within.filter(Boolean).length, 39);
});

test("a team that sends at its weight is ever held back", (t) => {
  const allowance = { left: 1, atMs: 0 };
  const within = Array.from({ length: 100 }, (_, index) =>
    takeAllowance(allowance, 10, index * 100),
  );
  t.true(within.every(Boolean));
});
