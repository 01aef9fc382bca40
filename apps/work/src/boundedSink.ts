import { LineSink, LOG_CLASS, type LogClass } from "@heatherferry/common";
import { LineBudget, type LineRate } from "./lineBudget.js";
import { StandardOutput, type LineOutput } from "./lineOutput.js";

/** Bounds of one class of lines. */
interface LineBound extends LineRate {
  /** Lines of the class are dropped while more bytes than this wait for the reader. */
  readonly maxWaitingBytes: number;
}

/** Bounds of what a process writes to its log, by class of line. */
export const LOG_BOUND: Readonly<Record<LogClass, LineBound>> = {
  [LOG_CLASS.ROUTINE]: { linesPerS: 400, burstLines: 1_200, maxWaitingBytes: 262_144 },
  [LOG_CLASS.KEPT]: { linesPerS: 500, burstLines: 4_000, maxWaitingBytes: 2_097_152 },
};

/** Bytes of one write: a pipe takes so many whole, so that its reader gets whole lines. */
export const MAX_WRITE_BYTES = 4_096;

/** Least time between two lines that say how many were dropped. */
export const DROPPED_LINE_GAP_MS = 1_000;

/**
 * Writes lines without ever waiting for the reader. Lines above the budget of their class, or
 * above what may wait, are dropped before they are formatted; a line a second says how many.
 */
export class BoundedSink extends LineSink {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private writing = false;
  private readonly budgets: Readonly<Record<LogClass, LineBudget>> = {
    [LOG_CLASS.ROUTINE]: new LineBudget(LOG_BOUND.routine),
    [LOG_CLASS.KEPT]: new LineBudget(LOG_BOUND.kept),
  };
  /** Lines dropped since the start, by class. */
  readonly dropped: Record<LogClass, number> = { kept: 0, routine: 0 };
  private reported: Readonly<Record<LogClass, number>> = { kept: 0, routine: 0 };
  private reportTimer: NodeJS.Timeout | null = null;

  /**
   * @param program - Name of the node, kept in the lines that count dropped ones.
   * @param output - Takes the bytes.
   */
  constructor(
    private readonly program: string,
    private readonly output: LineOutput = new StandardOutput(),
  ) {
    super();
  }

  override admit(lineClass: LogClass): boolean {
    const full = this.waitingBytes > LOG_BOUND[lineClass].maxWaitingBytes;
    if (!full && this.budgets[lineClass].take()) {
      return true;
    }
    this.drop(lineClass);
    return false;
  }

  override write(line: string): void {
    const ended = `${line}\n`;
    this.waiting.push(ended);
    this.waitingBytes += Buffer.byteLength(ended);
    if (!this.writing) {
      this.writing = true;
      setImmediate(() => {
        this.flush();
      });
    }
  }

  private drop(lineClass: LogClass): void {
    this.dropped[lineClass] += 1;
    this.reportTimer ??= this.reportLater();
  }

  private reportLater(): NodeJS.Timeout {
    return setTimeout(() => {
      this.reportDropped();
    }, DROPPED_LINE_GAP_MS).unref();
  }

  private reportDropped(): void {
    if (this.waitingBytes > LOG_BOUND.kept.maxWaitingBytes) {
      this.reportTimer = this.reportLater();
      return;
    }
    this.reportTimer = null;
    const before = this.reported;
    this.reported = { ...this.dropped };
    this.write(
      JSON.stringify({
        at: new Date().toISOString(),
        level: "warn",
        program: this.program,
        event: "log.dropped",
        kept: this.reported.kept - before.kept,
        routine: this.reported.routine - before.routine,
      }),
    );
  }

  /** @returns The oldest waiting lines, as many as one write takes, but at least one. */
  private takeLines(): Buffer {
    let lines = 1;
    let bytes = this.bytesOf(0);
    while (lines < this.waiting.length && bytes + this.bytesOf(lines) <= MAX_WRITE_BYTES) {
      bytes += this.bytesOf(lines);
      lines += 1;
    }
    this.waitingBytes -= bytes;
    return Buffer.from(this.waiting.splice(0, lines).join(""));
  }

  private bytesOf(index: number): number {
    return Buffer.byteLength(this.waiting[index] ?? "");
  }

  private flush(): void {
    this.output.write(this.takeLines(), (failed) => {
      if (failed) {
        // Nobody can be told that the log itself is broken but by the count.
        this.dropped.kept += 1;
      }
      if (this.waiting.length > 0) {
        this.flush();
      } else {
        this.writing = false;
      }
    });
  }
}
