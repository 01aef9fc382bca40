import { keyHash, queueId } from "@heatherferry/common";
import test from "ava";
import { KEYS } from "../src/index.js";
import { HASH_A, readyNode, RULES_TEXT, rulesRow } from "./helpers/testNode.js";

const withoutKey = RULES_TEXT.split("\n")
  .filter((line) => !line.startsWith("key ka"))
  .join("\n");

test("work is admitted only for the team of the key that came with it", (t) => {
  const node = readyNode("register-1");
  const id = node.arrive();
  t.is(node.state.requests.records.get(id)?.team, "lots" as never);
  t.is(node.refusalOf(node.arrive({ keyHash: null }))?.kind, "noKey");
  t.is(node.refusalOf(node.arrive({ keyHash: keyHash("c".repeat(64)) }))?.kind, "unknownKey");
});

test("a withdrawn key stops working with the revision that withdraws it", (t) => {
  const node = readyNode("register-1");
  node.readRows([rulesRow(20, withoutKey)]);
  t.is(node.refusalOf(node.arrive({ keyHash: HASH_A }))?.kind, "unknownKey");
});

test("keys are not honoured by a node whose view of the rules is too old", (t) => {
  const node = readyNode("register-1");
  node.advance(KEYS.MAX_VIEW_AGE_MS - 1);
  t.is(node.refusalOf(node.arrive()), null);
  node.advance(2);
  const refusal = node.refusalOf(node.arrive());
  t.is(refusal?.kind, "keysTooOld");
  t.is(refusal?.outcome, "notRun");
});

test("a queue open to all is served by a node whose view of the rules is too old", (t) => {
  const node = readyNode("register-1");
  node.advance(KEYS.MAX_VIEW_AGE_MS * 100);
  const id = node.arrive({ queue: queueId("public"), keyHash: null });
  t.is(node.refusalOf(id), null);
  t.is(node.dispatchesOf(id).length, 1);
});

test("a slow read does not make the view of the rules newer than it is", (t) => {
  const node = readyNode("register-1");
  const sentAtMs = node.nowMs;
  node.advance(KEYS.MAX_VIEW_AGE_MS + 1);
  node.readRows([], sentAtMs);
  t.is(node.refusalOf(node.arrive())?.kind, "keysTooOld");
});

test("an earlier revision that arrives late is never applied", (t) => {
  const node = readyNode("register-1");
  node.readRows([rulesRow(20, withoutKey)]);
  node.readRows([rulesRow(1)]);
  t.is(node.state.revisions.revision, 20 as never);
  t.is(node.refusalOf(node.arrive())?.kind, "unknownKey");
});

test("rules that cannot be parsed leave the earlier ones in force, but keys are not honoured", (t) => {
  const node = readyNode("register-1");
  node.readRows([rulesRow(20, "tem lots share=1 # asked by nobody")]);
  t.is(node.state.revisions.revision, 1 as never);
  t.is(node.state.revisions.unreadableRevisions, 1);
  t.is(node.refusalOf(node.arrive())?.kind, "keysTooOld");
  const open = node.arrive({ queue: queueId("public"), keyHash: null });
  t.is(node.refusalOf(open), null);
  node.readRows([rulesRow(21)]);
  t.is(node.refusalOf(node.arrive()), null);
});
