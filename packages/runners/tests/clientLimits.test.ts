import test from "ava";
import { ByteBudget } from "@heatherferry/coordination";
import { Registry } from "prom-client";
import {
  APPEND_RESULT,
  BodyBuffer,
  CLIENT_LIMIT,
  clientLimitsOf,
  LimitReporter,
  MET_LIMIT,
} from "../src/index.js";

const KB = 1_024;

/** Largest body that the configurations of the deployments allow. */
const LARGEST_BODY_BYTES = 262_144;

/** Longest time that a caller waits for its answer, the transfer of the body included. */
const CALLER_WAIT_MS = 3_000;

const SMALLEST_MACHINE = { memoryMb: 250, maxDescriptors: 4_100 };

const CONNECTIONS_PER_NODE = 600;

test("a caller inside the limits meets one on the smallest machine", (t) => {
  const limits = clientLimitsOf(SMALLEST_MACHINE);
  t.true(limits.maxConnections >= CONNECTIONS_PER_NODE, `${limits.maxConnections} connections`);
  t.true(limits.bodyBudgetBytes >= 2 * LARGEST_BODY_BYTES);
  const { BODY_TIMEOUT_MS, REQUEST_TIMEOUT_MS } = CLIENT_LIMIT;
  t.true(Math.min(BODY_TIMEOUT_MS, REQUEST_TIMEOUT_MS) > CALLER_WAIT_MS);
});

/** Memory that a header byte counts as, and the header of a caller, rather more than usual. */
const MEMORY_PER_HEADER_BYTE = 5;
const HEADER_BYTES = 1_000;

const PEERS = 40;

/** Messages to one peer and requests forwarded to it that are open at once. */
const CALLS_PER_PEER = 16 + 10;

test("ordinary headers on all connections, or the calls of all peers, meet a limit", (t) => {
  const { aheadBudgetBytes } = clientLimitsOf(SMALLEST_MACHINE);
  t.true(CONNECTIONS_PER_NODE * HEADER_BYTES * MEMORY_PER_HEADER_BYTE <= aheadBudgetBytes);
  const { maxPeerCalls, maxPeerConnections } = clientLimitsOf({
    memoryMb: 1_024,
    maxDescriptors: 4_096,
  });
  t.true(PEERS <= maxPeerConnections);
  t.true(PEERS * CALLS_PER_PEER <= maxPeerCalls, `${maxPeerCalls} calls`);
});

test("the largest body is not kept although nothing else is", (t) => {
  const budget = new ByteBudget(clientLimitsOf(SMALLEST_MACHINE).bodyBudgetBytes);
  const buffer = new BodyBuffer(budget, LARGEST_BODY_BYTES, LARGEST_BODY_BYTES);
  const body = Buffer.alloc(LARGEST_BODY_BYTES, "abcdefg");
  for (let at = 0; at < body.length; at += 1_460) {
    t.is(buffer.append(body.subarray(at, at + 1_460)), APPEND_RESULT.KEPT);
  }
  t.deepEqual(buffer.take(), body);
  t.is(budget.reservedBytes, 0);
});

test("bodies take more than the budget, or a body that found no room is still kept", (t) => {
  const budget = new ByteBudget(64 * KB);
  const buffers = [1, 2, 3].map(() => new BodyBuffer(budget, 32 * KB, null));
  const results = buffers.map((buffer) =>
    [1, 2].map(() => buffer.append(Buffer.alloc(16 * KB))).at(-1),
  );
  t.deepEqual(results, [APPEND_RESULT.KEPT, APPEND_RESULT.KEPT, APPEND_RESULT.TOO_LARGE]);
  t.is(budget.reservedBytes, 64 * KB);
  t.is(buffers[2]?.take().length, 0);
  buffers[0]?.take();
  t.is(budget.reservedBytes, 32 * KB);
});

test("a body over its limit is kept, or its room is", (t) => {
  const budget = new ByteBudget(64 * KB);
  const buffer = new BodyBuffer(budget, 10, null);
  t.is(buffer.append(Buffer.alloc(10)), APPEND_RESULT.KEPT);
  t.is(buffer.append(Buffer.alloc(1)), APPEND_RESULT.TOO_LARGE);
  t.is(buffer.append(Buffer.alloc(1)), APPEND_RESULT.TOO_LARGE);
  t.is(budget.reservedBytes, 0);
  t.is(buffer.take().length, 0);
});

test("a small body that is whole at once finds no room beside slow large ones", (t) => {
  const buffer = new BodyBuffer(new ByteBudget(0), 1_000, 5);
  t.is(buffer.append(Buffer.from("whole")), APPEND_RESULT.KEPT);
  t.is(buffer.take().toString(), "whole");
});

test("each client that meets a limit logs a line, or is not counted", async (t) => {
  const lines: unknown[] = [];
  const registry = new Registry();
  const reporter = new LimitReporter((_level, event, fields) => {
    lines.push({ event, ...fields });
  });
  reporter.register(registry);
  for (let times = 0; times < 1_000; times += 1) {
    reporter.met(MET_LIMIT.BODY_SIZE);
  }
  t.deepEqual(lines, [{ event: "client.limitMet", limit: "bodySize", times: 1 }]);
  t.regex(
    await registry.metrics(),
    /heatherferry_client_limits_met_total\{limit="bodySize"\} 1000/u,
  );
});
