import { hostId } from "@heatherferry/common";
import test, { type ExecutionContext } from "ava";
import { Client } from "undici";
import {
  answerBody,
  PlatformStandIn,
  TARGET_BEHAVIOUR,
  TargetFleet,
  TargetHostPower,
  TargetStandIn,
} from "../src/index.js";

/** Work time far longer than a test. */
const LONG_MS = 3_600_000;

const startTarget = async (t: ExecutionContext, slots = 1) => {
  const target = new TargetStandIn(slots, 1);
  await target.listen();
  const client = clientOf(t, target);
  t.teardown(() => target.close());
  return { target, client };
};

const clientOf = (t: ExecutionContext, target: TargetStandIn): Client => {
  const client = new Client(target.origin, { pipelining: 1 });
  t.teardown(() => client.destroy());
  return client;
};

const send = async (client: Client, tag: string, workMs = 0) => {
  const headers = { "x-request-tag": tag, "x-work-ms": String(workMs), "x-answer-bytes": "64" };
  const answer = await client.request({ method: "POST", path: "/lots", headers, body: "b" });
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
};

const untilRunning = async (target: TargetStandIn): Promise<void> => {
  while (target.running === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
};

test("a request that finds no free slot is refused as not run, and is not counted as a run", async (t) => {
  const { target, client } = await startTarget(t);
  send(client, "first", LONG_MS).catch(() => undefined);
  await untilRunning(target);
  const refused = await send(clientOf(t, target), "second");
  t.is(refused.status, 503);
  t.is(refused.headers["heatherferry-not-run"], "full");
  t.deepEqual([...target.runsByTag], [["first", 1]]);
});

test("the same request sent twice counts as two runs", async (t) => {
  const { target, client } = await startTarget(t);
  await send(client, "twice");
  const again = await send(client, "twice");
  t.is(again.text, answerBody("twice", 64));
  t.is(target.runsByTag.get("twice"), 2);
});

test("a reboot ordered from the platform interrupts the requests in flight, and counts them", async (t) => {
  const fleet = new TargetFleet({
    availabilityZone: "a",
    services: ["lots"],
    targetsPerService: 1,
    slots: 2,
    hostsPerRack: 4,
  });
  const platform = new PlatformStandIn(new TargetHostPower());
  await Promise.all([fleet.listen(), platform.listen()]);
  platform.setHosts(fleet.listedHosts());
  const target = fleet.findTarget(hostId("lots-a-1"));
  if (target === undefined) {
    throw new Error("no such target");
  }
  const client = clientOf(t, target);
  t.teardown(async () => {
    await platform.close();
    await fleet.close();
  });
  const cut = t.throwsAsync(send(client, "cut", LONG_MS));
  await untilRunning(target);

  const ordered = await fetch(`${platform.origin}/v1/hosts/lots-a-1/reboot`, { method: "POST" });

  t.is(ordered.status, 200);
  await cut;
  t.is(fleet.totals().cutOff, 1);
  t.is((await send(client, "after")).status, 200);
});

test("a caller that disconnects frees its slot, and its request still counts as a run", async (t) => {
  const { target, client } = await startTarget(t);
  const answer = t.throwsAsync(send(client, "hungUp", LONG_MS));
  await untilRunning(target);
  await client.destroy();
  await answer;
  while (target.running === 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is((await send(clientOf(t, target), "next")).status, 200);
  t.is(target.runsByTag.get("hungUp"), 1);
  t.like(target.counters, { hungUp: 1, cutOff: 0, refusedFull: 0 });
});

for (const behaviour of [
  TARGET_BEHAVIOUR.TRUNCATING,
  TARGET_BEHAVIOUR.INVALID_HTTP,
  TARGET_BEHAVIOUR.RESETTING,
]) {
  test(`the answer of a ${behaviour} target is not accepted as a full one`, async (t) => {
    const { target, client } = await startTarget(t);
    target.setBehaviour(behaviour);
    await t.throwsAsync(send(client, "broken"));
    t.is(target.runsByTag.get("broken"), 1);
  });
}

test("an open connection that goes silent stays silent while a new one is answered", async (t) => {
  const { target, client } = await startTarget(t);
  await send(client, "before");
  target.silenceOpenConnections();
  const silent = send(client, "silent");
  silent.catch(() => undefined);
  t.is((await send(clientOf(t, target), "new")).status, 200);
  t.false(target.runsByTag.has("silent"));
});

test("a failing target answers 500 to work that it counts as run", async (t) => {
  const { target, client } = await startTarget(t);
  target.setBehaviour(TARGET_BEHAVIOUR.FAILING);
  const failed = await send(client, "failed", LONG_MS);
  t.is(failed.status, 500);
  t.is(failed.text, answerBody("failed", 64));
  t.is(target.runsByTag.get("failed"), 1);
});

test("a silent target occupies a slot, even for a request without work time", async (t) => {
  const { target, client } = await startTarget(t);
  target.setBehaviour(TARGET_BEHAVIOUR.SILENT);
  send(client, "silent").catch(() => undefined);
  await untilRunning(target);
  target.setBehaviour(TARGET_BEHAVIOUR.NORMAL);
  t.is((await send(clientOf(t, target), "next")).status, 503);
});
