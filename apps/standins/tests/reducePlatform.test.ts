import {
  address,
  availabilityZoneId,
  hostId,
  rackId,
  rowKey,
  tableVersion,
} from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";
import test from "ava";
import {
  initialPlatformState,
  NO_FAULTS,
  reducePlatform,
  type ExchangeId,
  type PlatformCall,
  type PlatformStandInState,
} from "../src/index.js";

const HOST: ListedHost = {
  hostId: hostId("register-a-1"),
  availabilityZone: availabilityZoneId("a"),
  rack: rackId("a-1"),
  address: address("127.0.0.1:1"),
  slots: 8,
  state: "live",
};

const exchangeId = 1 as ExchangeId;

const call = (state: PlatformStandInState, request: PlatformCall, atMs: number) =>
  reducePlatform(state, { ...request, atMs, exchangeId });

const listedCountAt = (state: PlatformStandInState, atMs: number): number => {
  const [effect] = call(state, { type: "hosts/listRequested" }, atMs);
  return effect?.type === "exchange/answer" && effect.answer.type === "hostsListed"
    ? effect.answer.hosts.length
    : -1;
};

test("a host that goes down stays in the host list for the configured lag of the list", (t) => {
  const state = initialPlatformState();
  const faults = { ...NO_FAULTS, listLagMs: 3_000 };
  reducePlatform(state, { type: "faults/set", atMs: 0, faults, seed: null });
  reducePlatform(state, { type: "hosts/set", atMs: 0, hosts: [HOST] });
  call(state, { type: "host/rebootRequested", hostId: HOST.hostId }, 10_000);

  t.deepEqual([listedCountAt(state, 12_999), listedCountAt(state, 13_000)], [1, 0]);

  reducePlatform(state, {
    type: "host/rebootEnded",
    atMs: 14_000,
    hostId: HOST.hostId,
    cameBack: true,
  });
  t.deepEqual([listedCountAt(state, 16_999), listedCountAt(state, 17_000)], [0, 1]);
});

test("two orders to reboot a host power-cycle it once, and both are told that it stayed down", (t) => {
  const state = initialPlatformState();
  reducePlatform(state, { type: "hosts/set", atMs: 0, hosts: [HOST] });
  const order: PlatformCall = { type: "host/rebootRequested", hostId: HOST.hostId };
  t.deepEqual(call(state, order, 1), [{ type: "host/powerCycle", host: HOST, comesBack: true }]);
  t.deepEqual(call(state, order, 2), []);

  const ended = reducePlatform(state, {
    type: "host/rebootEnded",
    atMs: 3,
    hostId: HOST.hostId,
    cameBack: false,
  });

  t.is(ended.length, 2);
  t.like(ended[1], { answer: { type: "hostStayedDown" } });
});

test("the commit log does not grow with rewrites of the same row, and loses no row", (t) => {
  const state = initialPlatformState();
  const write = (key: string, atMs: number): void => {
    const puts = [{ key: rowKey(key), writeIds: [], body: {} }];
    const content = { writeId: "w", conditions: [], puts, deletes: [] };
    call(state, { type: "table/writeRequested", write: content }, atMs);
  };
  write("kept", 0);
  for (let atMs = 1; atMs <= 10_000; atMs += 1) {
    write("rewritten", atMs);
  }
  t.true(state.table.log.length < 5_000);
  const ranges = [{ prefix: rowKey(""), afterVersion: tableVersion(0) }];
  const [effect] = call(state, { type: "table/readRequested", ranges }, 10_001);
  t.like(effect, {
    answer: { upToVersion: 10_001, rows: [{ key: "kept" }, { key: "rewritten", version: 10_001 }] },
  });
});
