import test from "ava";
import { createLogger, LineSink, LOG_CLASS, LogThreshold, type LogClass } from "../src/index.js";

class ChoosySink extends LineSink {
  readonly lines: string[] = [];

  override admit(lineClass: LogClass): boolean {
    return lineClass === LOG_CLASS.KEPT;
  }

  override write(line: string): void {
    this.lines.push(line);
  }
}

test("a line that the sink has no room for is not formatted", (t) => {
  const sink = new ChoosySink();
  const log = createLogger("n0", new LogThreshold(), sink);
  let reads = 0;
  const fields = {
    get run(): number {
      reads += 1;
      return 7;
    },
  };
  log("info", "run.ordered", fields);
  t.is(reads, 0);
  log("info", "owner.taken", fields, LOG_CLASS.KEPT);
  t.true(reads > 0);
  t.is(sink.lines.length, 1);
  const line = JSON.parse(sink.lines[0] ?? "") as Record<string, unknown>;
  t.like(line, { level: "info", program: "n0", event: "owner.taken", run: 7 });
});

test("a line below the least level is not asked for", (t) => {
  const sink = new ChoosySink();
  createLogger("n0", new LogThreshold("warn"), sink)("info", "owner.taken", {}, LOG_CLASS.KEPT);
  t.deepEqual(sink.lines, []);
});
