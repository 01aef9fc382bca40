import { rowKey, tableVersion, writeId } from "@heatherferry/common";
import type { MaintainerLeaseRow, TableWrite } from "@heatherferry/core";
import { HttpPlatformTable, PlatformError } from "@heatherferry/runners";
import test, { type ExecutionContext } from "ava";
import { InstantHostPower, PlatformStandIn } from "../src/index.js";

const KEY = rowKey("lease/register");

const leaseBody = (epoch: number): MaintainerLeaseRow => ({
  type: "maintainerLease",
  pool: "register" as MaintainerLeaseRow["pool"],
  holder: "e-a-1" as MaintainerLeaseRow["holder"],
  incarnation: "1" as MaintainerLeaseRow["incarnation"],
  epoch,
  termMs: 1_000,
  released: false,
});

const leaseWrite = (id: string, version: number, epoch = 1): TableWrite => ({
  writeId: writeId(id),
  conditions: [{ key: KEY, version: tableVersion(version) }],
  puts: [{ key: KEY, writeIds: [writeId(id)], body: leaseBody(epoch) }],
});

const allAfter = (version: number) => [
  { prefix: rowKey("lease/"), afterVersion: tableVersion(version) },
];

const startTable = async (t: ExecutionContext) => {
  const platform = new PlatformStandIn(new InstantHostPower());
  await platform.listen();
  const table = new HttpPlatformTable(platform.origin, () => undefined);
  t.teardown(async () => {
    await table.close();
    await platform.close();
  });
  return { platform, table };
};

test("of two writes with the same expected version the second one changes nothing", async (t) => {
  const { table } = await startTable(t);
  t.like(await table.write(leaseWrite("first", 0)), { type: "committed", version: 1 });

  const second = await table.write(leaseWrite("second", 0, 2));

  t.is(second.type, "conflicted");
  const { rows, upToVersion } = await table.read(allAfter(0));
  t.deepEqual([rows.length, rows[0]?.writeIds, upToVersion], [1, ["first"], 1]);
});

test("a read with a version for each range gets the rows that changed after it, and no more", async (t) => {
  const { table, platform } = await startTable(t);
  await table.write(leaseWrite("first", 0));
  await table.write(leaseWrite("second", 1, 2));
  await table.read(allAfter(1));
  t.is(platform.counters.rowsRead, 1);
  const otherRange = { prefix: rowKey("member/"), afterVersion: tableVersion(0) };
  await table.read([...allAfter(2), otherRange]);
  t.is(platform.counters.rowsRead, 1);
});

test("a write whose reply is lost has taken effect", async (t) => {
  const { table, platform } = await startTable(t);
  platform.setFaults({ loseReplyFraction: 1 });
  await t.throwsAsync(table.write(leaseWrite("lost", 0)), { instanceOf: PlatformError });

  platform.setFaults({});
  const again = await table.write(leaseWrite("lost", 0));

  t.like(again, { type: "conflicted", rows: [{ writeIds: ["lost"] }] });
  t.is(platform.counters.lostReplies, 1);
});

test("a write to a platform that is down has not taken effect", async (t) => {
  const { table, platform } = await startTable(t);
  platform.setFaults({ down: true });
  await t.throwsAsync(table.write(leaseWrite("cut", 0)), { instanceOf: PlatformError });
  platform.setFaults({});
  t.is((await table.read(allAfter(0))).rows.length, 0);
});
