import { LineSink, LOG_CLASS, type LogClass } from "@heatherferry/common";
import { LineRateLimiter, type LineRate } from "./lineRateLimiter.js";
import { StandardOutput, type LineOutput } from "./lineOutput.js";

/** Limits for one class of log lines. */
interface LineLimits extends LineRate {
  /** Lines of the class are dropped while more bytes than this are buffered. */
  readonly maxBufferedBytes: number;
}

/** Limits on what a process writes to its log, by class of line. */
export const LOG_LIMITS: Readonly<Record<LogClass, LineLimits>> = {
  [LOG_CLASS.ROUTINE]: { linesPerS: 400, burstLines: 1_200, maxBufferedBytes: 262_144 },
  [LOG_CLASS.KEPT]: { linesPerS: 500, burstLines: 4_000, maxBufferedBytes: 2_097_152 },
};

/** Most bytes per write. A pipe accepts this many atomically, so its reader gets whole lines. */
export const MAX_WRITE_BYTES = 4_096;

/** Minimum interval between two reports of dropped lines. */
export const DROPPED_REPORT_INTERVAL_MS = 1_000;

/**
 * Writes log lines without blocking on the reader. Lines above the rate limit or the buffer limit
 * of their class are dropped before they are formatted; at most one line a second reports how many.
 */
export class BoundedSink extends LineSink {
  private buffered: string[] = [];
  private bufferedBytes = 0;
  private writing = false;
  private readonly limiters: Readonly<Record<LogClass, LineRateLimiter>> = {
    [LOG_CLASS.ROUTINE]: new LineRateLimiter(LOG_LIMITS.routine),
    [LOG_CLASS.KEPT]: new LineRateLimiter(LOG_LIMITS.kept),
  };
  /** Number of lines dropped since the process started, by class. */
  readonly dropped: Record<LogClass, number> = { kept: 0, routine: 0 };
  private reported: Readonly<Record<LogClass, number>> = { kept: 0, routine: 0 };
  private reportTimer: NodeJS.Timeout | null = null;

  /**
   * @param program - Name of the node, written into the reports of dropped lines.
   * @param output - Destination of the bytes.
   */
  constructor(
    private readonly program: string,
    private readonly output: LineOutput = new StandardOutput(),
  ) {
    super();
  }

  override admit(lineClass: LogClass): boolean {
    const full = this.bufferedBytes > LOG_LIMITS[lineClass].maxBufferedBytes;
    if (!full && this.limiters[lineClass].tryTake()) {
      return true;
    }
    this.drop(lineClass);
    return false;
  }

  override write(line: string): void {
    const terminated = `${line}\n`;
    this.buffered.push(terminated);
    this.bufferedBytes += Buffer.byteLength(terminated);
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
    }, DROPPED_REPORT_INTERVAL_MS).unref();
  }

  private reportDropped(): void {
    if (this.bufferedBytes > LOG_LIMITS.kept.maxBufferedBytes) {
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

  /** Removes the oldest buffered lines that fit into one write, but at least one line. */
  private takeChunk(): Buffer {
    let lines = 1;
    let bytes = this.bytesOf(0);
    while (lines < this.buffered.length && bytes + this.bytesOf(lines) <= MAX_WRITE_BYTES) {
      bytes += this.bytesOf(lines);
      lines += 1;
    }
    this.bufferedBytes -= bytes;
    return Buffer.from(this.buffered.splice(0, lines).join(""));
  }

  private bytesOf(index: number): number {
    return Buffer.byteLength(this.buffered[index] ?? "");
  }

  private flush(): void {
    this.output.write(this.takeChunk(), (failed) => {
      if (failed) {
        // A failure of the log cannot be logged; only the counter shows it.
        this.dropped.kept += 1;
      }
      if (this.buffered.length > 0) {
        this.flush();
      } else {
        this.writing = false;
      }
    });
  }
}
