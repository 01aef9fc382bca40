import { availabilityZoneId, hostId, poolId, rackId, revision, waveId } from "@heatherferry/common";
import test from "ava";
import fc from "fast-check";
import { auditPrefixes } from "../src/audit/auditKey.js";
import { MemoryTable } from "./memoryTable.js";
import { memberRow, runCli, putHost, putRules, RULES, tempFile } from "./commandHarness.js";

const fleet = (): MemoryTable => {
  const table = new MemoryTable();
  putRules(table);
  putHost(table, "die-1");
  putHost(table, "die-2");
  putHost(table, "die-3", { rack: rackId("r2") });
  putHost(table, "die-4", { rack: rackId("r3") });
  return table;
};

const permitted = (table: MemoryTable): string[] =>
  table.body("poolBudget", "budget/dies").permits.map((permit) => permit.hostId);

test.serial("a drained host stays in service, keeps its epoch or takes no permit", async (t) => {
  const table = fleet();
  t.is((await runCli(table, ["drain", "die-1"])).exitCode, 0);
  t.like(table.body("host", "host/a/die-1"), {
    phase: "leaving",
    drainEpoch: 1,
    drainReason: "operator",
  });
  t.deepEqual(permitted(table), ["die-1"]);
  t.is((await runCli(table, ["drain", "die-1"])).exitCode, 0);
  t.is(table.body("host", "host/a/die-1").drainEpoch, 1);
});

test.serial("a drain exceeds the budget of the pool or of the rack", async (t) => {
  const table = fleet();
  await runCli(table, ["drain", "die-1"]);
  const rack = await runCli(table, ["drain", "die-2"]);
  t.is(rack.exitCode, 1);
  t.regex(rack.err, /Rack r1 has as many .* may have: 1 \(line 5.*asked by Luis\)\. Wait.*die-1\./);
  t.is((await runCli(table, ["drain", "die-3"])).exitCode, 0);
  const pool = await runCli(table, ["drain", "die-4"]);
  t.is(pool.exitCode, 1);
  t.regex(
    pool.err,
    /Pool dies has 2 host.*may have 2 \(line 5.*asked by Luis\)\. Wait until one is back: die-1, die-3/,
  );
  t.deepEqual(permitted(table), ["die-1", "die-3"]);
});

test.serial("a wave's permit, or a host that is down unplanned, is not counted", async (t) => {
  const table = fleet();
  table.put("budget/dies", {
    type: "poolBudget",
    pool: poolId("dies"),
    permits: [{ hostId: hostId("die-3"), rack: rackId("r2"), waveId: waveId("spring") }],
    absent: [{ hostId: hostId("die-1"), rack: rackId("r1") }],
  });
  const { exitCode, err } = await runCli(table, ["drain", "die-4"]);
  t.is(exitCode, 1);
  t.regex(err, /Pool dies has 2 host.*planned and unplanned.*back: die-3, die-1/);
  t.regex((await runCli(table, ["explain", "host", "die-1"])).out, /plan die-3; unplanned die-1/);
  t.is(table.writes, 0);
});

test.serial(
  "a host out of service that is missing from the budget row is not counted",
  async (t) => {
    const table = fleet();
    table.put("budget/dies", {
      type: "poolBudget",
      pool: poolId("dies"),
      permits: [{ hostId: hostId("die-3"), rack: rackId("r2"), waveId: waveId("spring") }],
      absent: [],
    });
    putHost(table, "die-1", { phase: "stopped", drainReason: "wave" });
    const { exitCode, err } = await runCli(table, ["drain", "die-4"]);
    t.is(exitCode, 1);
    t.regex(err, /Pool dies has 2 host/);
  },
);

test.serial("the last host in service of a zone is drained", async (t) => {
  const table = new MemoryTable();
  putRules(table);
  putHost(table, "die-1");
  putHost(table, "die-2", { availabilityZone: availabilityZoneId("b"), rack: rackId("r2") });
  const { exitCode, err } = await runCli(table, ["drain", "die-1"]);
  t.is(exitCode, 1);
  t.regex(err, /die-1 is the last one in service of pool dies in zone a\. Put another/);
  t.is(table.writes, 0);
});

test.serial("an unknown host, one without a pool rule or one of a wave is drained", async (t) => {
  const table = fleet();
  putHost(table, "die-1", { phase: "leaving", drainReason: "wave", waveId: waveId("spring") });
  putHost(table, "die-8", { pool: poolId("gone") });
  t.regex((await runCli(table, ["drain", "die-9"])).err, /no host "die-9"\. Look the name up/);
  t.regex((await runCli(table, ["drain", "die-1"])).err, /leaving for a wave and comes back/);
  t.regex((await runCli(table, ["drain", "die-8"])).err, /pool gone, which the rules do not/);
  t.is(table.writes, 0);
});

test.serial("a host that is being rebooted for a wave is put back in service", async (t) => {
  const table = fleet();
  putHost(table, "die-1", { phase: "stopped", drainReason: "wave", waveId: waveId("spring") });
  const { exitCode, err } = await runCli(table, ["undrain", "die-1"]);
  t.is(exitCode, 1);
  t.regex(err, /die-1 is being rebooted for wave spring\. Wait until it is back/);
  t.is(table.writes, 0);
});

test.serial("a host whose maintenance failed in a wave can't be put back in service", async (t) => {
  const table = fleet();
  putHost(table, "die-1", { phase: "stopped", drainReason: "wave", waveId: waveId("spring") });
  table.put("wave/spring", {
    type: "wave",
    waveId: waveId("spring"),
    status: "halted",
    planned: [hostId("die-1")],
    done: [],
    failed: [hostId("die-1")],
    startedAtMs: 0,
  });
  t.is((await runCli(table, ["undrain", "die-1"])).exitCode, 0);
  t.like(table.body("host", "host/a/die-1"), { phase: "inService", waveId: null });
});

test.serial("a host that the platform is removing is put back in service", async (t) => {
  const table = fleet();
  putHost(table, "die-1", { phase: "leaving", drainReason: "platform" });
  const { exitCode, err } = await runCli(table, ["undrain", "die-1"]);
  t.is(exitCode, 1);
  t.regex(err, /list names it as leaving\. It comes back by itself/);
  t.is(table.writes, 0);
});

test.serial("two concurrent drains both take the last permit", async (t) => {
  const table = fleet();
  await runCli(table, ["drain", "die-1"]);
  let first = 1;
  table.beforeWrite = async () => {
    first = (await runCli(table, ["drain", "die-3"])).exitCode;
  };
  const second = await runCli(table, ["drain", "die-4"]);
  t.deepEqual([first, second.exitCode], [0, 1]);
  t.deepEqual(permitted(table), ["die-1", "die-3"]);
  t.is(table.body("host", "host/a/die-4").phase, "inService");
});

test.serial("a lost reply drains a host twice", async (t) => {
  const table = fleet();
  table.writeFaults = ["lostAfter", "lostBefore"];
  t.is((await runCli(table, ["drain", "die-1"])).exitCode, 0);
  t.is(table.body("host", "host/a/die-1").drainEpoch, 1);
  t.deepEqual(permitted(table), ["die-1"]);
});

test.serial("undrain leaves the host out of service, or keeps its permit", async (t) => {
  const table = fleet();
  await runCli(table, ["drain", "die-1"]);
  await runCli(table, ["drain", "die-3"]);
  t.is((await runCli(table, ["undrain", "die-1"])).exitCode, 0);
  t.like(table.body("host", "host/a/die-1"), {
    phase: "inService",
    drainEpoch: 1,
    drainReason: null,
  });
  t.deepEqual(permitted(table), ["die-3"]);
  t.is((await runCli(table, ["drain", "die-2"])).exitCode, 0);
});

test.serial("a rollout is reported as complete while a live entry host is outdated", async (t) => {
  const table = fleet();
  const writeHeartbeats = (revisionOfB: number): void => {
    table.put("member/a/entry-a", memberRow("entry-a", 2));
    table.put("member/a/entry-b", memberRow("entry-b", revisionOfB));
    table.put("member/a/entry-left", memberRow("entry-left", 1, true));
  };
  table.put("member/a/entry-lapsed", memberRow("entry-lapsed", 1), table.nowMs - 60_000);
  table.onRead = () => {
    writeHeartbeats(table.reads > 6 ? 2 : 1);
  };
  const path = tempFile(RULES.replace("limit=40", "limit=41"));
  const { exitCode, out, err } = await runCli(table, ["apply", path, "--wait"]);
  t.is(exitCode, 0);
  t.is(err, "1 of 2 live entry hosts have it\n");
  t.regex(out, /Revision 2: 2 of 2 live entry hosts have it\.\nSilent.*\n {2}a\/entry-lapsed rev/);
  t.false(out.includes("entry-left"));
  t.true(table.reads > 6);
});

test.serial(
  "the wait for a rollout never times out, or hides which entry hosts are outdated",
  async (t) => {
    const table = fleet();
    table.onRead = () => {
      table.put("member/a/entry-b", memberRow("entry-b", 1));
    };
    const path = tempFile(RULES.replace("limit=40", "limit=41"));
    const input = ["apply", path, "--wait", "--timeout-ms", "3000"];
    const { exitCode, err } = await runCli(table, input);
    t.is(exitCode, 1);
    t.regex(err, /Revision 2 is accepted and stays so.*\nWithout it:\n {2}a\/entry-b revision 1\n/);
  },
);

test.serial("a rollout is reported as complete without a live entry host", async (t) => {
  const table = fleet();
  table.put("member/a/entry-a", memberRow("entry-a", 1), table.nowMs - 20_000);
  const path = tempFile(RULES.replace("limit=40", "limit=41"));
  const input = ["apply", path, "--wait", "--timeout-ms", "3000"];
  const { exitCode, err } = await runCli(table, input);
  t.is(exitCode, 1);
  t.regex(err, /0 of 0 live entry hosts have it\.\nSilent.*\n {2}a\/entry-a revision 1\n/);
  t.regex((await runCli(table, ["status"])).out, /silent entry hosts:\n {2}a\/entry-a revision 1/);
});

test.serial(
  "status, explain, audit or wave hide what an operator needs to settle a dispute",
  async (t) => {
    const table = fleet();
    table.put("member/a/entry-a", memberRow("entry-a", 1));
    table.put("wave/spring", {
      type: "wave",
      waveId: waveId("spring"),
      status: "running",
      planned: ["die-1", "die-2", "die-3", "die-4"].map(hostId),
      done: [hostId("die-1")],
      failed: [hostId("die-2")],
      startedAtMs: table.nowMs - 20_000,
    });
    await runCli(table, ["apply", tempFile(RULES.replace("limit=40", "limit=41"))]);
    await runCli(table, ["drain", "die-3"]);
    const status = (await runCli(table, ["status"])).out;
    t.regex(status, /revision 2 by ana.*\n.*:\n {2}a\/entry-a revision 1 \(behind\)\n/);
    t.regex(status, /dies 3 inService, 1 leaving: die-3\n/);
    t.regex(status, /spring: running, 1 of 4 hosts done, failed: die-2, expected end 1970/);
    t.regex((await runCli(table, ["wave", "spring"])).out, /line 7: wave spring .*\nspring: run/);
    const team = (await runCli(table, ["explain", "team", "north"])).out;
    t.regex(team, /team north, revision 2\nline 3, .*\n.*limit=41.*\n {2}asked by: Ana, council/);
    const host = (await runCli(table, ["explain", "host", "die-3"])).out;
    t.regex(
      host,
      /rack r2.*\n.*leaving \(operator\).*\n.*plan die-3; unplanned none\n {2}line 5: pool dies/,
    );
    const audit = (await runCli(table, ["audit"])).out;
    t.regex(audit, /^revision 2 \(from 1\) by ana at .*\n- .*limit=40.*\n\+ .*limit=41.*\n$/);
    t.is((await runCli(table, ["explain", "queue", "none"])).exitCode, 1);
  },
);

test("reading a range of the audit trail skips revisions, or includes others", (t) => {
  const revisions = fc.integer({ min: 0, max: 20_000 });
  fc.assert(
    fc.property(revisions, fc.integer({ min: 0, max: 300 }), (first, length) => {
      const prefixes = auditPrefixes(revision(first), revision(first + length));
      const covered = (value: number): number => {
        const key = `audit/${String(value).padStart(10, "0")}`;
        return prefixes.filter((prefix) => key.startsWith(prefix)).length;
      };
      for (let value = Math.max(first - 20, 0); value < first + length + 20; value += 1) {
        const inside = value >= first && value <= first + length;
        if (covered(value) !== Number(inside)) {
          return false;
        }
      }
      return prefixes.length < 60;
    }),
    { seed: 20_261_204, numRuns: 200 },
  );
  t.pass();
});
