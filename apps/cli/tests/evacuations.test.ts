import test from "ava";
import { MemoryTable } from "./memoryTable.js";
import { tempFile, runCli } from "./commandHarness.js";

const line = (at: number, event: string, zone: string, fields: object = {}): string =>
  JSON.stringify({
    at: new Date(at).toISOString(),
    level: "info",
    program: "n",
    event,
    zone,
    ...fields,
  });

const since = new Date(1_000).toISOString();

const work = { batchRuns: 3, movingRuns: 0, heldRuns: 2, unplacedRuns: 1 };

test.serial("an older line of another node hides what runs in a zone", async (t) => {
  const owner = tempFile(
    [
      line(1_000, "evacuation.requested", "a"),
      line(3_000, "evacuation.progress", "a", { since, ...work }),
      line(2_000, "evacuation.progress", "a", { since, ...work, batchRuns: 9 }),
      line(4_000, "evacuation.emptied", "b", { since, workers: 7 }),
      line(5_000, "evacuation.ended", "c", { since }),
      line(6_000, "run.ordered", "c"),
      '{"event":"evacuation.cut',
    ].join("\n"),
  );
  const other = tempFile(line(1_500, "evacuation.requested", "a"));
  const { exitCode, out } = await runCli(new MemoryTable(), ["evacuations", owner, other]);
  t.is(exitCode, 0);
  t.deepEqual(out.trimEnd().split("\n"), [
    `a emptying since ${since}: 3 batch runs until they end, ` +
      "2 long-running held by maxUnavailable, 1 long-running without room elsewhere",
    `b empty since ${new Date(4_000).toISOString()}, requested ${since}, 7 workers`,
    `c back in service since ${new Date(5_000).toISOString()}`,
  ]);
});

test.serial("logs without an evacuation look like success", async (t) => {
  const { exitCode, err } = await runCli(new MemoryTable(), ["evacuations", tempFile("{}")]);
  t.is(exitCode, 1);
  t.regex(err, /No line tells of an evacuation/u);
});
