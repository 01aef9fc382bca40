import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** Log line of a program; a line that is not JSON becomes an event `text`. */
export type LogRecord = Readonly<Record<string, unknown>>;

const parseRecord = (line: string): LogRecord => {
  try {
    return JSON.parse(line) as LogRecord;
  } catch {
    return { event: "text", text: line };
  }
};

/** Runs a program in a child process and collects its log lines from standard error. */
export class Program {
  /** All log lines so far, in order. */
  readonly records: LogRecord[] = [];
  private readonly child: ChildProcess;
  private readonly listeners = new Set<() => void>();

  /**
   * Starts the program.
   *
   * @param path - Path of the built main module.
   * @param args - Command-line arguments.
   * @param runtimeOptions - Options of the Node.js runtime.
   */
  constructor(path: string, args: readonly string[], runtimeOptions: readonly string[] = []) {
    this.child = spawn(process.execPath, [...runtimeOptions, path, ...args], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    if (this.child.stderr !== null) {
      createInterface({ input: this.child.stderr }).on("line", (line) => {
        this.records.push(parseRecord(line));
        this.listeners.forEach((listener) => {
          listener();
        });
      });
    }
    this.child.once("exit", () => {
      this.listeners.forEach((listener) => {
        listener();
      });
    });
  }

  /** Process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Exit code; null while the program runs or if a signal terminated it. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** Whether the program has ended, by itself or by a signal. */
  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /**
   * Waits for a log line.
   *
   * @param event - Event of the line.
   * @returns The first line with this event.
   * @throws Error when the program exits without logging the event.
   */
  async waitForLog(event: string): Promise<LogRecord> {
    for (;;) {
      const found = this.records.find((record) => record.event === event);
      if (found !== undefined) {
        return found;
      }
      if (this.hasExited) {
        throw new Error(
          `The program exited without logging ${event}: ${JSON.stringify(this.records)}`,
        );
      }
      await this.nextLineOrExit();
    }
  }

  /** Sends a signal to the program. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /**
   * Waits until the program exits.
   *
   * @returns The exit code; null if a signal terminated the program.
   */
  async waitForExit(): Promise<number | null> {
    if (!this.hasExited) {
      await once(this.child, "exit");
    }
    return this.child.exitCode;
  }

  /** Kills the program with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.waitForExit();
  }

  private async nextLineOrExit(): Promise<void> {
    await new Promise<void>((resolve) => {
      const listener = (): void => {
        this.listeners.delete(listener);
        resolve();
      };
      this.listeners.add(listener);
    });
  }
}
