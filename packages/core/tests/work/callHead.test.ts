import test from "ava";
import {
  bodyBytesToRead,
  reduce,
  type AnswerKind,
  type CallArrival,
  type CallHead,
  type Effect,
  type WorkloadState,
} from "../../src/index.js";
import { OwnerNode } from "./ownerNode.js";
import { CATALOG } from "./siteFixtures.js";

const HEAD: CallHead = {
  kind: "submit",
  callerHost: "site.example",
  path: "/mills/00000000000000aa",
  key: "key",
};

const workOfNode = (node: OwnerNode): WorkloadState => {
  const { work } = node.state;
  if (work === null) {
    throw new Error("the node has no workload state; create it with one");
  }
  return work;
};

const isAnswer = (effect: Effect): effect is Extract<Effect, { type: "call/answer" }> =>
  effect.type === "call/answer";

const arriveUnread = (
  node: OwnerNode,
  head: CallHead,
  fields: Partial<CallArrival> = {},
): readonly Effect[] =>
  reduce(node.state, {
    type: "call/arrived",
    ...head,
    callId: "call",
    waitMs: null,
    bodyBytes: 100,
    work: null,
    problem: null,
    atMs: node.nowMs,
    ...fields,
  });

const REFUSED: readonly (readonly [Partial<CallHead>, number, AnswerKind])[] = [
  [{ path: "/nothing/00000000000000aa" }, 100, "noSuchQueue"],
  [{ callerHost: "other.example" }, 100, "noSuchQueue"],
  [{}, CATALOG.maxBodyBytes + 1, "tooLarge"],
  [{ key: null }, 100, "notAuthorised"],
  [{ key: "unknown" }, 100, "notAuthorised"],
];

for (const [change, bytes, kind] of REFUSED) {
  test(`a body is read for a call that is ${kind} whatever it holds: ${JSON.stringify(change)}`, (t) => {
    const node = new OwnerNode();
    const head = { ...HEAD, ...change };
    t.is(bodyBytesToRead(workOfNode(node), node.nowMs, head, bytes), 0);
    t.is(arriveUnread(node, head, { bodyBytes: bytes }).find(isAnswer)?.kind, kind);
  });
}

test("the body of a submission inside the limits is not read", (t) => {
  const node = new OwnerNode();
  const { maxBodyBytes } = CATALOG;
  t.is(bodyBytesToRead(workOfNode(node), node.nowMs, HEAD, 0), maxBodyBytes);
  t.is(bodyBytesToRead(workOfNode(node), node.nowMs, HEAD, maxBodyBytes), maxBodyBytes);
});

test("the body of a call that needs none is read", (t) => {
  const node = new OwnerNode();
  for (const kind of ["state", "pending", "cancel", "unsupported"] as const) {
    t.is(bodyBytesToRead(workOfNode(node), node.nowMs, { ...HEAD, kind }, 100), 0);
  }
});

test("a submission whose body found no room is stored or not refused as never run", (t) => {
  const node = new OwnerNode();
  const effects = arriveUnread(node, HEAD, { unread: "noRoom" });
  t.is(effects.find(isAnswer)?.kind, "unavailable");
  t.false(effects.some(({ type }) => type === "store/commit"));
});
