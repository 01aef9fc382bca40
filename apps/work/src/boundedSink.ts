import { write } from "node:fs";
import { LineSink } from "@heatherferry/common";

const STANDARD_OUTPUT = 1;

/** Bounds of what a process writes to its log. */
export const LOG_BOUND = {
  LINES_PER_S: 400,
  BURST_LINES: 1_200,
  /** Lines wait here while the reader is slow; more are dropped and counted. */
  MAX_WAITING_BYTES: 262_144,
} as const;

/**
 * Writes lines to standard output without ever waiting for the reader. Lines above the rate, or
 * above what may wait, are dropped; a line says how many.
 */
export class BoundedSink extends LineSink {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private writing = false;
  private allowance: number = LOG_BOUND.BURST_LINES;
  private refilledAtMs = performance.now();
  /** Lines dropped since the start. */
  dropped = 0;
  private droppedSinceLine = 0;

  override write(line: string): void {
    this.refill();
    if (this.allowance < 1 || this.waitingBytes > LOG_BOUND.MAX_WAITING_BYTES) {
      this.dropped += 1;
      this.droppedSinceLine += 1;
      return;
    }
    this.allowance -= 1;
    if (this.droppedSinceLine > 0) {
      const event = JSON.stringify({
        level: "warn",
        event: "log.dropped",
        lines: this.droppedSinceLine,
      });
      this.droppedSinceLine = 0;
      this.push(event);
    }
    this.push(line);
  }

  private push(line: string): void {
    this.waiting.push(line);
    this.waitingBytes += line.length + 1;
    if (!this.writing) {
      this.writing = true;
      setImmediate(() => {
        this.flush();
      });
    }
  }

  private refill(): void {
    const nowMs = performance.now();
    const gained = ((nowMs - this.refilledAtMs) / 1_000) * LOG_BOUND.LINES_PER_S;
    this.allowance = Math.min(LOG_BOUND.BURST_LINES, this.allowance + gained);
    this.refilledAtMs = nowMs;
  }

  private flush(): void {
    const bytes = Buffer.from(`${this.waiting.join("\n")}\n`);
    this.waiting = [];
    this.waitingBytes = 0;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, (error, written) => {
      if (error === null && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      if (error !== null) {
        // Nobody can be told that the log itself is broken but by the count.
        this.dropped += 1;
      }
      if (this.waiting.length > 0) {
        this.flush();
      } else {
        this.writing = false;
      }
    });
  }
}
