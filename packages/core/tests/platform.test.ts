import { tableVersion } from "@heatherferry/common";
import test from "ava";
import { MEMBERSHIP, type TableRow, type TableWrite } from "../src/index.js";
import { hostRow, joiningNode, type TestNode } from "./helpers/testNode.js";

const lastWrite = (node: TestNode): TableWrite => {
  const effect = node.effectsOf("table/write").at(-1);
  if (effect === undefined) {
    throw new Error("the node sent no write to the table");
  }
  return effect.write;
};

const rowAsWritten = (write: TableWrite, version: number): TableRow => {
  const put = write.puts[0];
  if (put === undefined) {
    throw new Error("the write has no puts");
  }
  return { ...put, version: tableVersion(version), committedAtMs: 0 };
};

test("a write whose reply was lost is sent again unchanged, and its id in the row settles it", (t) => {
  const node = joiningNode("register-1");
  const write = lastWrite(node);
  node.handle({ type: "table/writeUnanswered", writeId: write.writeId, reason: "lost" });
  node.advance(1_000);
  t.deepEqual(lastWrite(node), write);
  const rows = [rowAsWritten(write, 50)];
  node.handle({ type: "table/writeConflicted", writeId: write.writeId, rows });
  t.true(node.state.membership.sessionUntilMs > 0);
  t.is(node.state.platform.pendingWrites.size, 0);
});

test("a session is counted from the first send of its heartbeat, however late the reply", (t) => {
  const node = joiningNode("register-1");
  const sentAtMs = node.nowMs;
  const { writeId } = lastWrite(node);
  node.nowMs += 5_000;
  node.handle({ type: "table/writeCommitted", writeId, version: tableVersion(50) });
  t.is(node.state.membership.sessionUntilMs, sentAtMs + MEMBERSHIP.SESSION_TERM_MS);
});

test("a write that conflicted with another one is not taken for committed", (t) => {
  const node = joiningNode("register-1");
  const write = lastWrite(node);
  const rows = [{ ...rowAsWritten(write, 50), writeIds: [] }];
  node.handle({ type: "table/writeConflicted", writeId: write.writeId, rows });
  t.is(node.state.membership.sessionUntilMs, 0);
});

test("an older row that arrives late does not replace a newer one", (t) => {
  const node = joiningNode("register-1");
  const row = hostRow("register-1", 10);
  node.readRows([{ ...row, version: tableVersion(90) }]);
  node.readRows([row]);
  t.is(node.state.platform.mirror.get(row.key)?.version, tableVersion(90));
});

test("an answer that starts after the mirrored version confirms nothing", (t) => {
  const node = joiningNode("register-1");
  const before = [...node.state.platform.ranges.values()].map((range) => ({ ...range }));
  node.advance(1_000);
  node.handle({
    type: "table/readCompleted",
    sentAtMs: node.nowMs,
    viewAgeMs: 0,
    ranges: before.map(({ prefix }) => ({ prefix, afterVersion: tableVersion(500) })),
    rows: [],
    upToVersion: tableVersion(600),
    tableTimeMs: node.nowMs,
  });
  t.deepEqual([...node.state.platform.ranges.values()], before);
});

test("a node that resumes after a newer incarnation has replaced it stops", (t) => {
  const node = joiningNode("register-1");
  const write = lastWrite(node);
  node.handle({ type: "table/writeCommitted", writeId: write.writeId, version: tableVersion(50) });
  const own = rowAsWritten(write, 60);
  if (own.body.type !== "member") {
    throw new Error("the write is not a heartbeat");
  }
  node.readRows([{ ...own, body: { ...own.body, incarnation: "e1-2" as never } }]);
  t.is(node.state.node.supersededBy, "e1-2" as never);
  t.is(node.refusalOf(node.arrive())?.kind, "leaving");
  node.advance(100);
  t.is(node.effectsOf("node/exit").length, 1);
});
