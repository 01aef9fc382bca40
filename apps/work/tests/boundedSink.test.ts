import { LOG_CLASS, type LogClass } from "@heatherferry/common";
import { install, type Clock } from "@sinonjs/fake-timers";
import test from "ava";
import {
  BoundedSink,
  DROPPED_REPORT_INTERVAL_MS,
  LOG_LIMITS,
  MAX_WRITE_BYTES,
} from "../src/boundedSink.js";
import { LineOutput } from "../src/lineOutput.js";

/** Stores the lines that are written. While it is blocked, writes do not complete. */
class MemoryOutput extends LineOutput {
  readonly lines: string[] = [];
  maxWriteBytes = 0;
  blocked = false;
  private pendingDone: ((failed: boolean) => void) | null = null;

  override write(bytes: Buffer, done: (failed: boolean) => void): void {
    this.maxWriteBytes = Math.max(this.maxWriteBytes, bytes.length);
    this.lines.push(...bytes.toString().trimEnd().split("\n"));
    if (this.blocked) {
      this.pendingDone = done;
    } else {
      done(false);
    }
  }

  fail(): void {
    this.blocked = false;
    this.pendingDone?.(true);
  }

  droppedReports(): { kept: number; routine: number }[] {
    return this.lines
      .filter((line) => line.includes('"event":"log.dropped"'))
      .map((line) => JSON.parse(line) as { kept: number; routine: number });
  }
}

const writeLines = (sink: BoundedSink, lineClass: LogClass, count: number, line = "x"): void => {
  for (let index = 0; index < count; index += 1) {
    if (sink.admit(lineClass)) {
      sink.write(line);
    }
  }
};

let clock: Clock;
test.beforeEach(() => {
  clock = install();
});
test.afterEach.always(() => {
  clock.uninstall();
});

const newSink = (): { sink: BoundedSink; output: MemoryOutput } => {
  const output = new MemoryOutput();
  return { sink: new BoundedSink("n0", output), output };
};

test.serial("a flood of routine lines displaces kept lines, which an incident needs", (t) => {
  const { sink, output } = newSink();
  writeLines(sink, LOG_CLASS.ROUTINE, 10 * LOG_LIMITS.routine.burstLines);
  writeLines(sink, LOG_CLASS.KEPT, LOG_LIMITS.kept.burstLines, "kept");
  clock.tick(1);
  t.is(output.lines.filter((line) => line === "kept").length, LOG_LIMITS.kept.burstLines);
  t.is(sink.dropped.kept, 0);
  t.is(sink.dropped.routine, 9 * LOG_LIMITS.routine.burstLines);
});

test.serial("lines above the rate are dropped even after tokens have been refilled", (t) => {
  const { sink } = newSink();
  writeLines(sink, LOG_CLASS.ROUTINE, LOG_LIMITS.routine.burstLines);
  t.false(sink.admit(LOG_CLASS.ROUTINE));
  clock.tick(500);
  writeLines(sink, LOG_CLASS.ROUTINE, LOG_LIMITS.routine.linesPerS);
  t.is(sink.dropped.routine, 1 + LOG_LIMITS.routine.linesPerS / 2);
});

test.serial(
  "many lines of one event loop iteration are written in larger chunks than a pipe takes whole",
  (t) => {
    const { sink, output } = newSink();
    const lines = Array.from({ length: 300 }, (_, index) => `${index} ${"á".repeat(100)}`);
    for (const line of lines) {
      sink.write(line);
    }
    clock.tick(1);
    t.deepEqual(output.lines, lines);
    t.true(output.maxWriteBytes <= MAX_WRITE_BYTES);
  },
);

test.serial(
  "a continuous flood reports dropped lines more than once a second, or not by class",
  (t) => {
    const { sink, output } = newSink();
    for (let round = 0; round < 100; round += 1) {
      writeLines(sink, LOG_CLASS.ROUTINE, 200);
      writeLines(sink, LOG_CLASS.KEPT, 200);
      clock.tick(100);
    }
    clock.tick(2 * DROPPED_REPORT_INTERVAL_MS);
    const reports = output.droppedReports();
    t.true(reports.length <= 11, `${reports.length} lines in 12 s`);
    const sum = (lineClass: LogClass): number =>
      reports.reduce((total, report) => total + report[lineClass], 0);
    t.is(sum(LOG_CLASS.ROUTINE), sink.dropped.routine);
    t.is(sum(LOG_CLASS.KEPT), sink.dropped.kept);
    t.true(sink.dropped.kept > 0);
  },
);

test.serial("lines for a stalled reader are buffered without a bound", (t) => {
  const { sink, output } = newSink();
  output.blocked = true;
  const line = "y".repeat(1_000);
  writeLines(sink, LOG_CLASS.KEPT, 1, line);
  clock.tick(1);
  for (let round = 0; round < 60; round += 1) {
    writeLines(sink, LOG_CLASS.ROUTINE, 1_000, line);
    writeLines(sink, LOG_CLASS.KEPT, 1_000, line);
    clock.tick(1_000);
  }
  output.fail();
  const bytes = output.lines.reduce((total, written) => total + written.length + 1, 0);
  t.true(bytes <= LOG_LIMITS.kept.maxBufferedBytes + 2_000, `${bytes} bytes were buffered`);
  t.true(output.droppedReports().length > 0);
});
