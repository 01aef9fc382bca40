import { queueId, type RequestId } from "@heatherferry/common";
import test from "ava";
import { ATTEMPT_STAGE, MEMBERSHIP, type AttemptStage } from "../src/index.js";
import { readyNode, type TestNode } from "./helpers/testNode.js";

const lastAttempt = (node: TestNode, id: RequestId) => {
  const dispatch = node.dispatchesOf(id).at(-1);
  if (dispatch === undefined) {
    throw new Error(`${id} was not dispatched`);
  }
  return { requestId: id, attemptId: dispatch.attemptId };
};

const fail = (node: TestNode, id: RequestId, stage: AttemptStage, silent = false): void => {
  node.handle({
    type: "attempt/failed",
    ...lastAttempt(node, id),
    stage,
    silent,
    aborted: false,
    replayable: true,
    reason: "test",
  });
};

const beginAnswer = (node: TestNode, id: RequestId, statusCode = 200): void => {
  const attempt = lastAttempt(node, id);
  node.handle({ type: "attempt/answerBegan", ...attempt, statusCode, replayable: true });
};

const answer = (node: TestNode, id: RequestId): void => {
  beginAnswer(node, id);
  node.handle({ type: "attempt/completed", ...lastAttempt(node, id), failed: false });
};

test("a request that arrives while a slot is free is dispatched by the same event", (t) => {
  const node = readyNode("register-1");
  const id = node.arrive();
  t.is(node.dispatchesOf(id).length, 1);
  answer(node, id);
  t.is(node.effectsOf("caller/relay").length, 1);
  t.is(node.state.requests.attempts.size, 0);
  t.is(node.state.routing.targets.values().next().value?.running, 0);
});

test("requests beyond the slots wait, and beyond the queue's limit are refused as not run", (t) => {
  const node = readyNode("register-1");
  const ids = Array.from({ length: 8 }, () => node.arrive());
  t.is(node.effectsOf("attempt/dispatch").length, 2);
  const refusal = node.refusalOf(ids.at(-1) ?? node.arrive());
  t.is(refusal?.outcome, "notRun");
  t.is(refusal?.kind, "queueFull");
  t.true((refusal?.retryAfterMs ?? 0) > 0);
});

test("a non-idempotent request whose connection broke is not sent again, and is unknown", (t) => {
  const node = readyNode("register-1", "register-2");
  const id = node.arrive({ idempotent: false });
  fail(node, id, ATTEMPT_STAGE.SENT);
  t.is(node.dispatchesOf(id).length, 1);
  t.is(node.refusalOf(id)?.outcome, "unknown");
});

test("a non-idempotent request of which no byte was sent is sent to another target", (t) => {
  const node = readyNode("register-1", "register-2");
  const id = node.arrive({ idempotent: false });
  fail(node, id, ATTEMPT_STAGE.NOT_SENT);
  const hosts = node.dispatchesOf(id).map((dispatch) => dispatch.hostId);
  t.is(hosts.length, 2);
  t.not(hosts[0], hosts[1]);
});

test("an idempotent request is sent again when its target fails", (t) => {
  const node = readyNode("register-1", "register-2");
  const id = node.arrive();
  fail(node, id, ATTEMPT_STAGE.SENT);
  t.is(node.dispatchesOf(id).length, 2);
  answer(node, id);
  t.is(node.refusalOf(id), null);
});

test("an idempotent request is sent elsewhere when its target answers that it failed", (t) => {
  const node = readyNode("register-1", "register-2");
  const id = node.arrive();
  beginAnswer(node, id, 500);
  t.is(node.dispatchesOf(id).length, 2);
  t.is(node.effectsOf("attempt/abort").length, 1);
  answer(node, id);
  t.is(node.effectsOf("caller/relay").length, 1);
});

test("retries stop when the retry budget is spent", (t) => {
  const node = readyNode("register-1", "register-2");
  node.state.routing.retryTokens = 0;
  const id = node.arrive();
  fail(node, id, ATTEMPT_STAGE.SENT);
  t.is(node.dispatchesOf(id).length, 1);
  t.is(node.refusalOf(id)?.outcome, "unknown");
});

test("an answer that breaks off after it began closes the caller's connection without a retry", (t) => {
  const node = readyNode("register-1", "register-2");
  const id = node.arrive();
  beginAnswer(node, id);
  fail(node, id, ATTEMPT_STAGE.ANSWERING);
  t.is(node.dispatchesOf(id).length, 1);
  t.deepEqual(
    node.effectsOf("caller/breakOff").map((effect) => effect.requestId),
    [id],
  );
});

test("an answer that arrives after the request has timed out is not relayed", (t) => {
  const node = readyNode("register-1");
  const id = node.arrive({ timeoutMs: 500 });
  node.advance(600);
  t.is(node.refusalOf(id)?.outcome, "unknown");
  beginAnswer(node, id);
  t.is(node.effectsOf("caller/relay").length, 0);
  t.is(node.state.requests.counters.lateAnswersDropped, 1);
});

test("a request that has timed out keeps its slot until the connection is closed", (t) => {
  const node = readyNode("register-1");
  const first = node.arrive({ timeoutMs: 500 });
  node.advance(600);
  t.is(node.state.requests.attempts.size, 1);
  node.handle({
    type: "attempt/failed",
    ...lastAttempt(node, first),
    stage: ATTEMPT_STAGE.SENT,
    silent: false,
    aborted: true,
    replayable: true,
    reason: "stopped",
  });
  t.is(node.state.requests.attempts.size, 0);
});

test("a request that waits past its deadline is refused as not run and never runs", (t) => {
  const node = readyNode("register-1");
  const running = [node.arrive(), node.arrive()];
  const waiting = node.arrive({ timeoutMs: 300 });
  node.advance(400);
  t.is(node.refusalOf(waiting)?.outcome, "notRun");
  t.is(node.refusalOf(waiting)?.kind, "deadline");
  running.forEach((id) => {
    answer(node, id);
  });
  t.is(node.dispatchesOf(waiting).length, 0);
});

test("a request whose caller disconnects while it waits is never run", (t) => {
  const node = readyNode("register-1");
  const running = [node.arrive(), node.arrive()];
  const waiting = node.arrive();
  node.handle({ type: "request/cancelled", requestId: waiting });
  running.forEach((id) => {
    answer(node, id);
  });
  t.is(node.dispatchesOf(waiting).length, 0);
});

test("a target that fails every request is ejected, then probed with one request", (t) => {
  const node = readyNode("register-1", "register-2");
  for (let count = 0; count < 40 && node.state.routing.ejections === 0; count += 1) {
    const id = node.arrive({ idempotent: false });
    if (lastDispatchHost(node, id) === "register-1") {
      fail(node, id, ATTEMPT_STAGE.SENT);
    } else {
      answer(node, id);
    }
  }
  t.is(node.state.routing.ejections, 1);
  const ids = Array.from({ length: 3 }, () => node.arrive({ timeoutMs: 20_000 }));
  t.deepEqual([...new Set(ids.map((id) => lastDispatchHost(node, id)))].filter(Boolean), [
    "register-2",
  ]);
  node.advance(6_000);
  node.readRows([]);
  const probed = node.effects.filter(
    (effect) => effect.type === "attempt/dispatch" && effect.hostId === "register-1",
  );
  t.is(probed.length, 4);
});

const lastDispatchHost = (node: TestNode, id: RequestId): string | undefined =>
  node.dispatchesOf(id).at(-1)?.hostId;

test("a draining target gets no new work, and its running work finishes", (t) => {
  const node = readyNode("register-1", "register-2");
  const id = node.arrive();
  const host = lastDispatchHost(node, id) ?? "";
  const row = [...node.state.platform.mirror.values()].find((one) => one.key.endsWith(host));
  if (row?.body.type !== "host") {
    throw new Error("the host's row is missing");
  }
  node.readRows([
    { ...row, version: 99 as typeof row.version, body: { ...row.body, phase: "leaving" } },
  ]);
  const later = [node.arrive(), node.arrive(), node.arrive()];
  t.true(later.every((one) => lastDispatchHost(node, one) !== host));
  answer(node, id);
  t.is(node.refusalOf(id), null);
});

test("a pool without a target in the zone refuses as not run", (t) => {
  const node = readyNode();
  t.is(node.refusalOf(node.arrive())?.kind, "noTarget");
});

test("a request to an unknown queue is refused as such", (t) => {
  const node = readyNode("register-1");
  t.is(node.refusalOf(node.arrive({ queue: queueId("nope") }))?.kind, "unknownQueue");
});

test("a node that shuts down refuses requests, finishes, and exits though the platform is down", (t) => {
  const node = readyNode("register-1");
  const id = node.arrive();
  node.handle({ type: "node/shutdownRequested" });
  t.is(node.refusalOf(node.arrive())?.kind, "leaving");
  node.advance(100);
  t.is(node.effectsOf("node/exit").length, 0);
  answer(node, id);
  t.is(node.refusalOf(id), null);
  node.advance(100);
  t.is(node.effectsOf("node/exit").length, 0);
  node.advance(MEMBERSHIP.SHUTDOWN_TIMEOUT_MS);
  t.is(node.effectsOf("node/exit").length, 1);
});

test("ten thousand waiting requests are cancelled without a scan of the others for each", (t) => {
  const node = readyNode("register-1");
  const rule = node.state.revisions.rules.queues.get(queueId("register"));
  (node.state.revisions.rules.queues as Map<unknown, unknown>).set(queueId("register"), {
    ...rule,
    maxQueued: 20_000,
  });
  const ids = Array.from({ length: 10_002 }, () => node.arrive());
  ids.slice(2).forEach((requestId) => {
    node.handle({ type: "request/cancelled", requestId });
  });
  t.is(node.state.requests.records.size, 2);
  t.is([...node.state.queues.pools.values()][0]?.length, 0);
});

test("a request that may have run before is never refused as not run", (t) => {
  const unreachable = readyNode("register-1", "register-2");
  const id = unreachable.arrive();
  fail(unreachable, id, ATTEMPT_STAGE.SENT);
  while (unreachable.refusalOf(id) === null) {
    fail(unreachable, id, ATTEMPT_STAGE.NOT_SENT);
  }
  t.is(unreachable.refusalOf(id)?.outcome, "unknown");

  const waiting = readyNode("register-1");
  const first = waiting.arrive();
  waiting.arrive();
  waiting.arrive();
  waiting.state.routing.targets.forEach((target) => (target.accepting = false));
  fail(waiting, first, ATTEMPT_STAGE.SENT);
  waiting.advance(6_000);
  t.is(waiting.refusalOf(first)?.outcome, "unknown");
});
