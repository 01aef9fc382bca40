import { createHash } from "node:crypto";
import { revision } from "@heatherferry/common";
import test from "ava";
import { MemoryTable } from "./memoryTable.js";
import {
  readTempFile,
  tempFile,
  runCli,
  putHost,
  putRules,
  RULES,
  SECRET,
} from "./commandHarness.js";

const textInForce = (table: MemoryTable): string => table.body("rulesHead", "rules/head").text;

const tableWithRules = (): MemoryTable => {
  const table = new MemoryTable();
  putRules(table);
  return table;
};

const rulesWithLimit = (limit: number): string =>
  `# revision 1\n${RULES.replace("limit=40", `limit=${limit}`)}`;

test.serial("a malformed file reaches the table", async (t) => {
  const table = tableWithRules();
  const path = tempFile("team north share=1\nqueue q pool=none # Ana\n");
  for (const command of ["check", "apply", "diff"]) {
    const { exitCode, err } = await runCli(table, [command, path]);
    t.is(exitCode, 2);
    t.true(err.includes(`${path}:1:19: The rule does not say who asked`));
    t.true(err.includes(`${path}:2:14: There is no pool "none". Add a pool line`));
  }
  t.is(table.reads + table.writes, 0);
});

test.serial("the first rules file is refused, or its author is not recorded", async (t) => {
  const table = new MemoryTable();
  const { exitCode, out } = await runCli(table, ["apply", tempFile(RULES), "--by", "luis"]);
  t.is(exitCode, 0);
  t.regex(out, /Revision 1 is in force/);
  t.is(textInForce(table), `# revision 1\n${RULES}`);
  t.like(table.body("audit", "audit/0000000001"), {
    revision: 1,
    fromRevision: 0,
    appliedBy: "luis",
    removed: [],
  });
  t.is(table.body("audit", "audit/0000000001").added.length, 5);
});

test.serial("two concurrent applies both succeed, or the refused file is modified", async (t) => {
  const table = tableWithRules();
  const [firstFile, secondFile] = [tempFile(rulesWithLimit(50)), tempFile(rulesWithLimit(60))];
  let first = 1;
  table.beforeWrite = async () => {
    first = (await runCli(table, ["apply", firstFile, "--by", "luis"])).exitCode;
  };
  const second = await runCli(table, ["apply", secondFile]);
  t.is(first, 0);
  t.is(second.exitCode, 1);
  t.regex(second.err, /starts from revision 1, and revision 2 is in force\. Nothing was changed/);
  t.regex(second.err, /revision 2 \(from 1\) by luis .*\n- team north .*limit=40.*\n\+ .*limit=50/);
  t.regex(second.err, /heatherferry show > FILE/);
  t.true(textInForce(table).includes("limit=50"));
  t.is(readTempFile(secondFile), rulesWithLimit(60));
  t.deepEqual(table.keys("audit/"), ["audit/0000000002"]);
});

test.serial("a file that is based on an old revision reverts a later change", async (t) => {
  const table = tableWithRules();
  t.is((await runCli(table, ["apply", tempFile(rulesWithLimit(50))])).exitCode, 0);
  t.is((await runCli(table, ["apply", tempFile(rulesWithLimit(60))])).exitCode, 1);
  const plain = tempFile(RULES);
  t.is((await runCli(table, ["apply", plain, "--from", "1"])).exitCode, 1);
  t.is((await runCli(table, ["apply", plain, "--from", "9"])).exitCode, 1);
  t.is((await runCli(table, ["apply", plain, "--from", "2"])).exitCode, 0);
});

test.serial("the output of show can't be edited, compared and applied", async (t) => {
  const table = tableWithRules();
  const shown = await runCli(table, ["show"]);
  const edited = tempFile(shown.out.replace("limit=40", "limit=41"));
  t.regex((await runCli(table, ["diff", edited])).out, /revision 1:\n- team north.*\n\+ team/);
  t.is((await runCli(table, ["apply", edited])).exitCode, 0);
  t.regex((await runCli(table, ["show"])).out, /^# revision 2\n# the valley's fleet\n.*limit=41/);
  const again = await runCli(table, ["apply", edited]);
  t.is(again.exitCode, 0);
  t.regex(again.out, /in force as revision 2; nothing to change/);
});

test.serial("a lost reply makes a committed write look like a conflict", async (t) => {
  const table = tableWithRules();
  table.writeFaults = ["lostAfter", "lostBefore"];
  const { exitCode, out } = await runCli(table, ["apply", tempFile(rulesWithLimit(50))]);
  t.is(exitCode, 0);
  t.regex(out, /\+ team north .*limit=50.*\nRevision 2 is in force\./);
  t.is(table.writes, 3);
  t.is(table.body("rulesHead", "rules/head").revision, revision(2));
});

test.serial("a write with a lost reply is called a conflict after later changes", async (t) => {
  const table = tableWithRules();
  table.writeFaults = ["lostAfter"];
  const applyOtherChanges = async (): Promise<void> => {
    for (let limit = 100; limit < 112; limit += 1) {
      const text = RULES.replace("limit=20", `limit=${limit}`);
      await runCli(table, ["apply", tempFile(text)]);
    }
  };
  table.beforeWrite = async () => {
    await Promise.resolve();
    table.beforeWrite = applyOtherChanges;
  };
  const { exitCode, out } = await runCli(table, ["apply", tempFile(rulesWithLimit(50))]);
  t.is(exitCode, 0);
  t.regex(out, /Revision 2 is in force/);
  t.is(table.body("rulesHead", "rules/head").revision, revision(14));
});

test.serial("a write without any reply is reported as committed or as not committed", async (t) => {
  const table = tableWithRules();
  table.writeFaults = Array.from({ length: 100 }, () => "lostBefore");
  const { exitCode, err } = await runCli(table, ["apply", tempFile(rulesWithLimit(50))]);
  t.is(exitCode, 1);
  t.is(table.writes, 8);
  t.regex(err, /unknown whether revision 2 was written\. Run `heatherferry audit --since 2`/);
});

test.serial(
  "reads of a table that is down are retried without end, or a short outage fails a command",
  async (t) => {
    const table = tableWithRules();
    table.readFaults = 4;
    t.is((await runCli(table, ["show"])).exitCode, 0);
    table.readFaults = 100;
    const { exitCode, err } = await runCli(table, ["show"]);
    t.is(exitCode, 1);
    t.regex(err, /Nothing was changed\. Run the command again/);
  },
);

test.serial("a new key's secret is printed twice, stored in the rules, or not shown", async (t) => {
  const table = tableWithRules();
  const { exitCode, out } = await runCli(table, ["keys", "grant", "north", "--asked-by", "Eva"]);
  t.is(exitCode, 0);
  t.is(out.split(SECRET).length, 2);
  t.false(textInForce(table).includes(SECRET));
  const hash = createHash("sha256").update(SECRET).digest("hex");
  t.regex(textInForce(table), new RegExp(`^key north-\\S+ team=north hash=${hash} # Eva$`, "m"));
  t.is(table.body("audit", "audit/0000000002").added.length, 1);
});

test.serial("a lost reply grants a second key, or hides the secret", async (t) => {
  const table = tableWithRules();
  table.writeFaults = ["lostAfter"];
  const { exitCode, out } = await runCli(table, ["keys", "grant", "north", "--asked-by", "Eva"]);
  t.is(exitCode, 0);
  t.true(out.includes(SECRET));
  t.deepEqual(table.keys("audit/"), ["audit/0000000002"]);
});

test.serial("a withdrawn key stays in the next revision, or another line is lost", async (t) => {
  const table = tableWithRules();
  await runCli(table, ["keys", "grant", "north", "--asked-by", "Eva"]);
  const name = /key (\S+)/u.exec(textInForce(table))?.[1] ?? "";
  const { exitCode } = await runCli(table, ["keys", "withdraw", name]);
  t.is(exitCode, 0);
  t.is(textInForce(table), `# revision 3\n${RULES}`);
  t.is((await runCli(table, ["keys", "withdraw", name])).exitCode, 1);
});

test.serial("a grant that conflicts with a change is lost, or reverts that change", async (t) => {
  const table = tableWithRules();
  table.beforeWrite = async () => {
    await runCli(table, ["apply", tempFile(rulesWithLimit(50))]);
  };
  const { exitCode } = await runCli(table, ["keys", "grant", "south", "--asked-by", "Eva"]);
  t.is(exitCode, 0);
  t.regex(textInForce(table), /^# revision 3\n[^]*limit=50[^]*key south-/);
});

test.serial("a key for an unknown team, or a comment with a rule in it, is accepted", async (t) => {
  const table = tableWithRules();
  const injected = "Eva\nteam evil share=1 limit=1 # Eva";
  const second = await runCli(table, ["keys", "grant", "north", "--asked-by", injected]);
  t.is(second.exitCode, 2);
  const first = await runCli(table, ["keys", "grant", "nort", "--asked-by", "Eva"]);
  t.is(first.exitCode, 1);
  t.regex(first.err, /no team "nort"\. Look the name up/);
  t.is(table.writes, 0);
});

test.serial("a budget larger than its pool is applied", async (t) => {
  const table = tableWithRules();
  ["die-1", "die-2"].forEach((name) => {
    putHost(table, name);
  });
  const path = tempFile(`# revision 1\n${RULES.replace("max-unavailable=2", "max-unavailable=3")}`);
  const { exitCode, err } = await runCli(table, ["apply", path]);
  t.is(exitCode, 2);
  t.true(err.includes(`${path}:5:1: Pool dies has 2 hosts, and 3 may be unavailable.`));
  t.is(table.writes, 0);
});

test.serial("a wave is paused without an audit record, or twice", async (t) => {
  const table = tableWithRules();
  t.is((await runCli(table, ["wave", "pause", "spring"])).exitCode, 0);
  t.regex(textInForce(table), /^wave spring pool=dies max-parallel=1 paused=yes # Luis/m);
  t.is(table.body("audit", "audit/0000000002").removed.length, 1);
  t.is((await runCli(table, ["wave", "pause", "spring"])).exitCode, 0);
  t.is((await runCli(table, ["wave", "resume", "spring"])).exitCode, 0);
  t.regex(textInForce(table), /^# revision 3\n[^]*max-parallel=1 paused=no # Luis/);
  t.is((await runCli(table, ["wave", "pause", "autumn"])).exitCode, 1);
});

test.serial("a command without a platform, an operator or valid options is run", async (t) => {
  const table = tableWithRules();
  const path = tempFile(rulesWithLimit(50));
  const platform = ["--platform", "http://127.0.0.1:1"];
  t.regex((await runCli(table, ["show"], {})).err, /No platform is named\. Pass --platform/);
  t.regex((await runCli(table, ["apply", path, ...platform], {})).err, /Pass --by NAME/);
  const wrong = [
    ["show", "--platform", "nonsense"],
    ["apply", path, "--from", "x"],
    ["apply", "/nowhere.rules"],
    ["explain", "rack", "r1"],
    ["frobnicate"],
    ["show", "--settings", "/nowhere.toml"],
  ];
  for (const input of wrong) {
    const { exitCode, err } = await runCli(table, input);
    t.is(exitCode, 2);
    t.not(err, "");
  }
  t.is(table.reads + table.writes, 0);
});
