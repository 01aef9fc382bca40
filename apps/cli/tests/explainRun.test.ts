import test from "ava";
import { MemoryTable } from "./memoryTable.js";
import { runCli, tempFile } from "./commandHarness.js";

const ITEM = "867867f88954af9e.0.0.1";

const startLine = (at: string, run: number, fields: object): string =>
  JSON.stringify({
    at,
    level: "info",
    program: "n1",
    event: "run.ordered",
    item: ITEM,
    run,
    worker: "w1",
    ...fields,
  });

const LEARNED = {
  expectedMs: 812,
  estimateEnds: 24,
  estimateAgeMs: 3_240,
  estimateKind: "queue mills",
  callerEstimateMs: 4_000,
};

test.serial("a start is not explained by the figure that it was decided by", async (t) => {
  const file = tempFile(
    [
      startLine("2026-02-28T16:15:22.000Z", 1001, { expectedMs: 4_000, estimateEnds: 0 }),
      startLine("2026-02-28T16:15:20.000Z", 1, LEARNED),
      startLine("2026-02-28T16:15:24.000Z", 1002, {}),
      startLine("2026-02-28T16:15:25.000Z", 3, { ...LEARNED, item: `${ITEM}7` }),
      `{"event":"run.ordered","item":"${ITEM}","ru`,
    ].join("\n"),
  );
  const { exitCode, out } = await runCli(new MemoryTable(), ["explain", "run", ITEM, file]);
  t.is(exitCode, 0);
  t.deepEqual(out.trimEnd().split("\n"), [
    "2026-02-28T16:15:20.000Z run 1 on w1: expected to take 0.8 s, learned from 24 ends, " +
      'the newest 3.2 s old, of "queue mills"; the caller estimated 4.0 s',
    "2026-02-28T16:15:22.000Z run 1001 on w1: expected to take 4.0 s, the caller's estimate",
    "2026-02-28T16:15:24.000Z run 1002 on w1: the version that ordered it did not log a run time",
  ]);
});

test.serial("an item without a start looks like success", async (t) => {
  const file = tempFile("{}");
  const { exitCode, err } = await runCli(new MemoryTable(), ["explain", "run", ITEM, file]);
  t.is(exitCode, 1);
  t.regex(err, /No start of/u);
});
