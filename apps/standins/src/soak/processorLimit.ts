import { readFileSync } from "node:fs";

const CHECK_INTERVAL_MS = 10;
/** A process may use its share of this time at once. */
const PERIOD_MS = 100;
/** Linux counts processor time in ticks of this length by default. */
const TICK_MS = 10;
/** Fields of `/proc/PID/stat` behind the program's name, which may contain blanks. */
const STAT_FIELD = { USER_TICKS: 11, SYSTEM_TICKS: 12 } as const;

const usedMs = (pid: number): number => {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = [STAT_FIELD.USER_TICKS, STAT_FIELD.SYSTEM_TICKS].map((field) =>
    Number(fields[field]),
  );
  return ticks.reduce((sum, count) => sum + count, 0) * TICK_MS;
};

/**
 * Keeps a process to a share of a processor as a platform's quota does: once it has used its share
 * of a period, it stands still until the next one.
 */
export class ProcessorLimit {
  private leftMs: number;
  private usedBeforeMs = 0;
  private checkedAtMs = performance.now();
  private isHeld = false;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param pid - The process.
   * @param cores - Its share, in cores.
   * @param mayRun - Whether nothing else keeps it suspended.
   */
  constructor(
    private readonly pid: number,
    private readonly cores: number,
    private readonly mayRun: () => boolean,
  ) {
    this.leftMs = cores * PERIOD_MS;
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MS);
  }

  /** Ends the limit, when the process has ended. */
  end(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const nowMs = performance.now();
    try {
      const used = usedMs(this.pid);
      const gainedMs = (nowMs - this.checkedAtMs) * this.cores;
      this.leftMs = Math.min(this.cores * PERIOD_MS, this.leftMs + gainedMs);
      this.leftMs -= used - this.usedBeforeMs;
      this.usedBeforeMs = used;
      this.checkedAtMs = nowMs;
      this.hold(this.leftMs <= 0);
    } catch {
      // The process has ended.
      this.end();
    }
  }

  private hold(held: boolean): void {
    if (held !== this.isHeld && this.mayRun()) {
      this.isHeld = held;
      process.kill(this.pid, held ? "SIGSTOP" : "SIGCONT");
    }
  }
}
