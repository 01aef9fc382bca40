import test from "ava";
import { MemoryTable } from "./memoryTable.js";
import { tempFile, runCli } from "./commandHarness.js";

const line = (at: string, program: string, event: string, item: string): string =>
  JSON.stringify({ at, level: "info", program, event, item, run: 1, reason: "the lease expired" });

test.serial(
  "lines of several nodes are out of order, or lines of other ids are shown",
  async (t) => {
    const first = tempFile(
      [
        line("2026-02-28T16:15:22.000Z", "n1", "run.abandoned", "aa.0.0.1"),
        line("2026-02-28T16:15:20.000Z", "n1", "run.ordered", "aa.0.0.1"),
        line("2026-02-28T16:15:20.000Z", "n1", "run.ordered", "bb.0.0.1"),
      ].join("\n"),
    );
    const second = tempFile(
      `${line("2026-02-28T16:15:21.000Z", "n2", "owner.x", "aa.0.0.1")}\n{"cut aa.`,
    );
    const { exitCode, out, err } = await runCli(new MemoryTable(), ["trace", "aa.", first, second]);
    t.is(exitCode, 0);
    t.deepEqual(
      out
        .trimEnd()
        .split("\n")
        .map((text) => text.split(" ")[3]),
      ["run.ordered", "owner.x", "run.abandoned"],
    );
    t.true(out.includes('reason="the lease expired"'));
    t.regex(err, /1 lines that name aa\. cannot be read/u);
  },
);

test.serial("an id that no line contains looks like success", async (t) => {
  const { exitCode, err } = await runCli(new MemoryTable(), ["trace", "zz", tempFile("{}")]);
  t.is(exitCode, 1);
  t.regex(err, /No line names zz/u);
});
