import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** A JSON line that a program logged. */
export type LogRecord = Readonly<Record<string, unknown>>;

const parseRecord = (line: string): LogRecord => {
  try {
    return JSON.parse(line) as LogRecord;
  } catch {
    return { event: "text", text: line };
  }
};

/** One of the product's programs, run as a process of its own. */
export class Program {
  /** All lines that it logged, in order. */
  readonly records: LogRecord[] = [];
  private readonly child: ChildProcess;
  private readonly watchers = new Set<() => void>();

  /**
   * @param path - The built main module.
   * @param args - Its arguments.
   */
  constructor(path: string, args: readonly string[]) {
    this.child = spawn(process.execPath, [path, ...args], { stdio: ["ignore", "ignore", "pipe"] });
    if (this.child.stderr !== null) {
      createInterface({ input: this.child.stderr }).on("line", (line) => {
        this.records.push(parseRecord(line));
        this.watchers.forEach((watcher) => {
          watcher();
        });
      });
    }
    this.child.once("exit", () => {
      this.watchers.forEach((watcher) => {
        watcher();
      });
    });
  }

  /** Its process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Its exit code; null while it runs or when a signal ended it. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  private get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /**
   * Waits for a log line.
   *
   * @param event - The line's event.
   * @returns The first such line.
   * @throws Error when the program ends without it.
   */
  async logged(event: string): Promise<LogRecord> {
    for (;;) {
      const found = this.records.find((record) => record.event === event);
      if (found !== undefined) {
        return found;
      }
      if (this.hasEnded) {
        throw new Error(`The program ended without ${event}: ${JSON.stringify(this.records)}`);
      }
      await this.nextChange();
    }
  }

  /** @param signal - The signal to send. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /**
   * Waits for its end.
   *
   * @returns The exit code; null when a signal ended it.
   */
  async ended(): Promise<number | null> {
    if (!this.hasEnded) {
      await once(this.child, "exit");
    }
    return this.child.exitCode;
  }

  /** Ends it at once. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.ended();
  }

  private async nextChange(): Promise<void> {
    await new Promise<void>((resolve) => {
      const watcher = (): void => {
        this.watchers.delete(watcher);
        resolve();
      };
      this.watchers.add(watcher);
    });
  }
}
