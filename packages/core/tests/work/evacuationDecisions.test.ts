import { availabilityZoneId } from "@heatherferry/common";
import test from "ava";
import {
  addRequest,
  EVACUATION,
  EVACUATION_STATE,
  feedWaitMs,
  isClosedByZone,
  isViewCurrent,
  maxViewAgeMs,
  newEvacuations,
  NOTHING_REMAINS,
  removeRequest,
  storeVersion,
  updateReports,
  workerId,
  zonesWithoutRow,
  type EvacuationRecord,
  type EvacuationRequest,
  type Evacuations,
  type RemainingWork,
} from "../../src/index.js";

const ZONE = availabilityZoneId("a");
const OTHER_ZONE = availabilityZoneId("b");

const requestOf = (version: number, zone = ZONE): EvacuationRequest => ({
  zone,
  version: storeVersion(version),
  seenAtMs: 100,
  seenWallMs: 1_000 + version,
});

const requestedEvacuations = (version: number): Evacuations => {
  const evacuations = newEvacuations();
  addRequest(evacuations, requestOf(version));
  return evacuations;
};

const workerIn = (zone: typeof ZONE, id = "w") => ({
  id: workerId(id),
  availabilityZone: zone,
});

test("a request closes workers of other zones, or leaves those of its own open", (t) => {
  const evacuations = requestedEvacuations(5);
  t.true(isClosedByZone(evacuations, workerIn(ZONE), 100));
  t.false(isClosedByZone(evacuations, workerIn(OTHER_ZONE), 100));
});

test("a repeated row counts as a new request", (t) => {
  const evacuations = requestedEvacuations(5);
  t.false(addRequest(evacuations, requestOf(5)));
  t.false(addRequest(evacuations, requestOf(4)));
  t.true(addRequest(evacuations, requestOf(6)));
});

test("a removal that a feed repeats ends a later request", (t) => {
  const evacuations = requestedEvacuations(5);
  t.is(removeRequest(evacuations, ZONE, storeVersion(4), 200), null);
  t.true(evacuations.requests.has(ZONE));
  t.is(removeRequest(evacuations, ZONE, storeVersion(6), 200)?.version, storeVersion(5));
  t.is(removeRequest(evacuations, ZONE, storeVersion(7), 200), null);
});

test("a removal without a version leaves its request in force", (t) => {
  const evacuations = requestedEvacuations(5);
  t.truthy(removeRequest(evacuations, ZONE, storeVersion(0), 200));
});

test("a full read keeps a request that it does not list, or ends one that it lists", (t) => {
  const evacuations = requestedEvacuations(5);
  addRequest(evacuations, requestOf(6, OTHER_ZONE));
  t.deepEqual(zonesWithoutRow(evacuations, new Set([OTHER_ZONE])), [ZONE]);
});

test("all workers of a zone return at once, or some never do", (t) => {
  const evacuations = requestedEvacuations(5);
  removeRequest(evacuations, ZONE, storeVersion(6), 1_000);
  const closedAt = (nowMs: number): number =>
    Array.from({ length: 100 }, (_unused, index) => workerIn(ZONE, `worker-${index}`)).filter(
      (worker) => isClosedByZone(evacuations, worker, nowMs),
    ).length;
  const atFirst = closedAt(1_000 + 0.1 * EVACUATION.RETURN_MS);
  const halfway = closedAt(1_000 + 0.5 * EVACUATION.RETURN_MS);
  t.true(atFirst > 70 && atFirst < 100);
  t.true(halfway > 25 && halfway < 75);
  t.is(closedAt(1_000 + EVACUATION.RETURN_MS), 0);
});

test("a zone that returns stays open although its evacuation is requested again", (t) => {
  const evacuations = requestedEvacuations(5);
  removeRequest(evacuations, ZONE, storeVersion(6), 1_000);
  addRequest(evacuations, requestOf(7));
  t.true(isClosedByZone(evacuations, workerIn(ZONE), 1_000 + 2 * EVACUATION.RETURN_MS));
});

test("starts go on with a view from before a request that is past its bound", (t) => {
  for (const boundMs of [1_000, 2_000, 5_000, 20_000]) {
    t.true(isViewCurrent(boundMs, maxViewAgeMs(boundMs)));
    t.false(isViewCurrent(boundMs, maxViewAgeMs(boundMs) + 1));
    t.true(maxViewAgeMs(boundMs) < boundMs);
  }
  t.true(maxViewAgeMs(5_000) + EVACUATION.START_ORDER_LIFETIME_MS <= 5_000);
  t.false(isViewCurrent(5_000, Infinity));
});

test("a deployment without a bound for evacuations waits for views of requests", (t) => {
  t.true(isViewCurrent(null, Infinity));
  t.is(feedWaitMs(null, Infinity, 1_000), 1_000);
});

test("a feed without changes waits until its view is too old for starts", (t) => {
  for (const boundMs of [500, 1_000, 2_000, 5_000]) {
    let ageMs = 0;
    for (let round = 0; round < 20; round += 1) {
      const waitMs = feedWaitMs(boundMs, ageMs, 1_000);
      t.true(ageMs + waitMs <= maxViewAgeMs(boundMs));
      ageMs = waitMs;
    }
  }
  t.is(feedWaitMs(5_000, 1_000, 1_000), 1_000);
  t.is(feedWaitMs(5_000, 4_000, 1_000), 0);
});

const BUSY: RemainingWork = { ...NOTHING_REMAINS, workers: 2, batchRuns: 1 };

test("a report does not follow what runs in its zone, or is written without a change", (t) => {
  const records = new Map<typeof ZONE, EvacuationRecord>();
  const evacuations = requestedEvacuations(5);
  const statesAfter = (work: RemainingWork): readonly string[] =>
    updateReports(records, evacuations, () => work).map(({ state }) => state);
  t.deepEqual(statesAfter(BUSY), [EVACUATION_STATE.EMPTYING]);
  const record = records.get(ZONE);
  t.true(record?.dirty);
  if (record !== undefined) {
    records.set(ZONE, { ...record, dirty: false });
  }
  t.deepEqual(statesAfter(BUSY), []);
  t.false(records.get(ZONE)?.dirty);
  t.deepEqual(statesAfter({ ...BUSY, batchRuns: 0 }), [EVACUATION_STATE.EMPTIED]);
  removeRequest(evacuations, ZONE, storeVersion(6), 300);
  t.deepEqual(statesAfter(BUSY), [EVACUATION_STATE.ENDED]);
  t.is(records.get(ZONE)?.report.batchRuns, 0);
});

test("a report on an earlier request lends its start to a later one", (t) => {
  const records = new Map<typeof ZONE, EvacuationRecord>();
  updateReports(records, requestedEvacuations(5), () => BUSY);
  t.is(records.get(ZONE)?.report.sinceWallMs, 1_005);
  updateReports(records, requestedEvacuations(9), () => BUSY);
  t.is(records.get(ZONE)?.report.sinceWallMs, 1_009);
});
