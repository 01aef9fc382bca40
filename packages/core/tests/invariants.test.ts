import { attemptId, requestId } from "@heatherferry/common";
import test from "ava";
import { NotRunIsTrue, type Effect, type Event } from "../src/index.js";
import { RecentMap } from "../src/invariants/recentMap.js";

const failedAfterSending = (index: number): Event => ({
  type: "attempt/failed",
  atMs: index,
  requestId: requestId(`r${index}`),
  attemptId: attemptId(`r${index}#1`),
  stage: "sent",
  aborted: false,
  silent: false,
  replayable: false,
  reason: "",
});

const refusedAsNotRun = (index: number): Effect => ({
  type: "caller/refuse",
  requestId: requestId(`r${index}`),
  refusal: { outcome: "notRun", kind: "deadline", retryAfterMs: null },
});

test("a false refusal is detected after a hundred thousand earlier requests", (t) => {
  const invariant = new NotRunIsTrue();
  const last = 100_000;
  for (let index = 0; index <= last; index += 1) {
    invariant.violation(failedAfterSending(index), []);
  }
  const tick: Event = { type: "clock/ticked", atMs: last };
  t.regex(invariant.violation(tick, [refusedAsNotRun(last)]) ?? "", /refused as not run/);
  t.is(invariant.violation(tick, [refusedAsNotRun(0)]), null);
});

test("a key set within the last generation is never discarded, and older keys are", (t) => {
  const recent = new RecentMap<number, string>(10);
  for (let key = 0; key < 100; key += 1) {
    recent.set(key, `v${key}`);
    t.is(recent.get(Math.max(0, key - 9)), `v${Math.max(0, key - 9)}`);
  }
  t.false(recent.has(50));
});
