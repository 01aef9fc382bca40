import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  type LogFields,
} from "@heatherferry/common";
import {
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  type Event,
  type State,
} from "@heatherferry/core";
import { LoopLoad } from "@heatherferry/runners";
import test from "ava";
import { Registry } from "prom-client";
import { LOAD_REPORT, LoopLoadReporter } from "../src/loopLoadReporter.js";
import { registerLoadMetrics } from "../src/loadMetrics.js";
import { ProcessorTime } from "../src/processorTime.js";

const BOUND_MS = 3_000;

const BOUNDS = {
  revokeMs: BOUND_MS,
  configApplyMs: BOUND_MS,
  holdMaxMs: BOUND_MS,
  stopMs: BOUND_MS,
  gangMs: BOUND_MS,
  graceMs: BOUND_MS,
  drainMs: BOUND_MS,
  statusRetentionMs: BOUND_MS,
  visibleMs: BOUND_MS,
  hostOrderLeaseMs: BOUND_MS,
  noticeMs: BOUND_MS,
  impactMs: BOUND_MS,
  moveMs: BOUND_MS,
  maintenanceMs: BOUND_MS,
  evacuationMs: null,
};

class FakeProcessorTime extends ProcessorTime {
  ms = 0;

  override usedMs(): number {
    return this.ms;
  }
}

const newState = (): State => {
  const identity = {
    role: NODE_ROLE.WORK,
    entryHostId: entryHostId("n0"),
    availabilityZone: availabilityZoneId("a"),
    incarnation: incarnation("n0-1"),
    callerAddress: address(""),
    peerAddress: address(""),
  };
  const state = initialState(identity, 1, 0);
  state.work = initialWorkloadState({ holder: "n0", incarnation: "n0-1" }, BOUNDS, 500);
  return state;
};

/** A node whose clock and processor time are set by the test. */
class LoadedNode {
  readonly lines: LogFields[] = [];
  readonly load = new LoopLoad();
  readonly processor = new FakeProcessorTime();
  readonly loadLines = new LoopLoadReporter(
    this.load,
    this.processor,
    (_level, event, fields = {}) => {
      if (event === "loop.load") {
        this.lines.push(fields);
      }
    },
  );
  private readonly state = newState();
  private atMs = 0;

  handle(type: "clock/ticked" | "node/shutdownRequested", busyMs: number, waitedMs = 0): void {
    const event: Event = { type, atMs: this.atMs, wallMs: this.atMs };
    const timing = { waitedMs, reduceMs: busyMs, effectsMs: 2 * busyMs };
    this.load.observe(event, [], this.state, timing);
    this.loadLines.observe(event, [], this.state);
  }

  tickAfter(ms: number, waitedMs = 0): void {
    this.atMs += ms;
    this.handle("clock/ticked", 1, waitedMs);
  }
}

test("a node that lags does not report which event types take its time", (t) => {
  const node = new LoadedNode();
  node.tickAfter(0);
  for (let event = 0; event < 10; event += 1) {
    node.handle("node/shutdownRequested", 5);
  }
  node.processor.ms = 400;
  node.tickAfter(LOAD_REPORT.INTERVAL_MS, LOAD_REPORT.LAG_THRESHOLD_MS);
  t.deepEqual(node.lines, [
    {
      owner: false,
      submissions: 0,
      elapsedMs: 1_000,
      processorMs: 400,
      processorPercent: 80,
      reduceMs: 51,
      effectsMs: 102,
      events: 11,
      oldestMs: 200,
      busiest: "node/shutdownRequested 10 x 5000+10000, clock/ticked 1 x 1000+2000",
    },
  ]);
});

test("reports after a lag still show the lag", (t) => {
  const node = new LoadedNode();
  node.tickAfter(0);
  node.tickAfter(LOAD_REPORT.INTERVAL_MS, LOAD_REPORT.LAG_THRESHOLD_MS);
  node.tickAfter(LOAD_REPORT.INTERVAL_MS);
  t.is(node.lines.length, 1);
  t.is(node.loadLines.oldestEventAgeMs, 0);
});

test("clock ticks write more than one report a second", (t) => {
  const node = new LoadedNode();
  node.tickAfter(0);
  for (let tick = 0; tick < 100; tick += 1) {
    node.tickAfter(LOAD_REPORT.INTERVAL_MS / 20, LOAD_REPORT.LAG_THRESHOLD_MS);
  }
  t.is(node.lines.length, 5);
  t.true(node.lines.every(({ events }) => events === 20));
});

test("events are counted twice if metrics are collected twice", async (t) => {
  const node = new LoadedNode();
  const registry = new Registry();
  registerLoadMetrics(registry, node.load, node.loadLines, node.processor);
  node.processor.ms = 1_500;
  node.tickAfter(0);
  await registry.metrics();
  const text = await registry.metrics();
  t.regex(text, /heatherferry_events_total\{type="clock\/ticked"\} 1\n/u);
  t.regex(
    text,
    /heatherferry_event_busy_seconds_total\{type="clock\/ticked",part="effects"\} 0.002\n/u,
  );
  t.regex(text, /heatherferry_processor_seconds_total 1.5\n/u);
});
