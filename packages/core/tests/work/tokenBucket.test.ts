import test from "ava";
import { takeToken } from "../../src/work/placement/tokenBucket.js";

test("a team that submits at ten times its rate is admitted beyond its rate and burst", (t) => {
  const bucket = { tokens: 10, refilledAtMs: 0 };
  const admitted = Array.from({ length: 300 }, (_, index) => takeToken(bucket, 10, index * 10));
  // 3 s at 10 submissions per second, plus the saved-up burst.
  t.is(admitted.filter(Boolean).length, 39);
});

test("a team that submits at its rate is found to exceed it", (t) => {
  const bucket = { tokens: 1, refilledAtMs: 0 };
  const admitted = Array.from({ length: 100 }, (_, index) => takeToken(bucket, 10, index * 100));
  t.true(admitted.every(Boolean));
});
