import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  keyHash,
  queueId,
  requestId,
  rowKey,
  tableVersion,
} from "@heatherferry/common";
import { NODE_ROLE, type Event, type RowBody } from "@heatherferry/core";
import test from "ava";
import { replayTrace, TraceError, TraceRecorder } from "../src/index.js";

const HASH = "a".repeat(64);

const RULES = [
  "team lots share=1 limit=5 # asked by lots",
  `key k team=lots hash=${HASH} # asked by lots`,
  "pool p hosts=p-* max-unavailable=1 max-unavailable-per-rack=1 # asked by lots",
  "queue q pool=p max-queued=5 timeout-ms=1000 # asked by lots",
].join("\n");

const IDENTITY = {
  role: NODE_ROLE.ENTRY,
  entryHostId: entryHostId("e1"),
  availabilityZone: availabilityZoneId("a"),
  incarnation: incarnation("i1"),
  callerAddress: address("127.0.0.1:1"),
  peerAddress: address("127.0.0.1:2"),
};

const rulesRead: Event = {
  type: "table/readCompleted",
  atMs: 10,
  sentAtMs: 9,
  viewAgeMs: 0,
  ranges: [{ prefix: rowKey("rules/head"), afterVersion: tableVersion(0) }],
  rows: [
    {
      key: rowKey("rules/head"),
      version: tableVersion(1),
      committedAtMs: 0,
      writeIds: [],
      body: {
        type: "rulesHead",
        revision: 1,
        text: RULES,
        appliedBy: "operator",
        appliedAtMs: 0,
      } as unknown as RowBody,
    },
  ],
  upToVersion: tableVersion(1),
  tableTimeMs: 0,
};

const arrival: Event = {
  type: "request/arrived",
  atMs: 20,
  requestId: requestId("r1"),
  queue: queueId("q"),
  keyHash: keyHash(HASH),
  idempotent: true,
  idempotencyKey: null,
  ticket: null,
  timeoutMs: null,
  forwarded: false,
};

const recordingOf = (...events: readonly Event[]): TraceRecorder => {
  const recorder = new TraceRecorder(IDENTITY, 1, 0, 10_000);
  events.forEach((event) => {
    recorder.observe(event);
  });
  return recorder;
};

test("a trace contains no hash of a key, and its replay still recognises the key", (t) => {
  const text = recordingOf(rulesRead, arrival).text();
  t.false(text.includes(HASH));
  const result = replayTrace(text);
  t.is(result.revision, 1);
  t.deepEqual(result.refusals, { noTarget: 1 });
});

test("a replay reports the event at which an invariant is violated", (t) => {
  const failed: Event = {
    type: "attempt/failed",
    atMs: 5,
    requestId: requestId("r1"),
    attemptId: "r1#1" as never,
    stage: "sent",
    aborted: false,
    silent: false,
    replayable: false,
    reason: "",
  };
  const { violations } = replayTrace(recordingOf(rulesRead, failed, arrival).text());
  t.is(violations[0]?.event, 3);
  t.regex(violations[0]?.text ?? "", /^notRunIsTrue/);
});

test("a trace ends at its size limit and is marked as truncated", (t) => {
  const recorder = recordingOf(rulesRead, ...Array.from({ length: 100 }, () => arrival));
  t.true(recorder.truncated);
  t.true(recorder.text().length < 11_000);
});

test("a file that is not a trace is rejected", (t) => {
  t.is(t.throws(() => replayTrace("{}\n"), { instanceOf: TraceError }).kind, "wrongFormat");
  const truncatedTrace = `${recordingOf(rulesRead).text()}{"type":`;
  t.is(
    t.throws(() => replayTrace(truncatedTrace), { instanceOf: TraceError }).kind,
    "unreadableLine",
  );
});
