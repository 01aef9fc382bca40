import test from "ava";
import { createLogger, LineSink, LOG_CLASS, LogThreshold, type LogClass } from "../src/index.js";

class KeptLinesSink extends LineSink {
  readonly lines: string[] = [];

  override admit(lineClass: LogClass): boolean {
    return lineClass === LOG_CLASS.KEPT;
  }

  override write(line: string): void {
    this.lines.push(line);
  }
}

test("a line that the sink does not admit is not formatted", (t) => {
  const sink = new KeptLinesSink();
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

test("a line below the threshold is not offered to the sink", (t) => {
  const sink = new KeptLinesSink();
  createLogger("n0", new LogThreshold("warn"), sink)("info", "owner.taken", {}, LOG_CLASS.KEPT);
  t.deepEqual(sink.lines, []);
});
