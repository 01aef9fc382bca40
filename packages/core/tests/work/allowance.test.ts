import test from "ava";
import { takeAllowance } from "../../src/work/allowance.js";

test("a team that submits at ten times its rate is admitted beyond its rate and burst", (t) => {
  const bucket = { left: 10, atMs: 0 };
  const admitted = Array.from({ length: 300 }, (_, index) => takeAllowance(bucket, 10, index * 10));
  // 3 s at 10 submissions per second, plus the saved-up burst.
  t.is(admitted.filter(Boolean).length, 39);
});

test("a team that submits at its rate is found to exceed it", (t) => {
  const bucket = { left: 1, atMs: 0 };
  const admitted = Array.from({ length: 100 }, (_, index) =>
    takeAllowance(bucket, 10, index * 100),
  );
  t.true(admitted.every(Boolean));
});
