import type { IncomingMessage } from "node:http";
import { JsonServer, type Reply } from "./jsonServer.js";

interface Order {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly fencingToken: number;
  readonly deadlineMs?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

interface RunningItem {
  readonly run: number;
  readonly startedAtMs: number;
  /** Null where it lasts until it is stopped. */
  readonly workMs: number | null;
  readonly end: NodeJS.Timeout | null;
}

const percentOf = ({ startedAtMs, workMs }: RunningItem): number =>
  workMs === null ? 100 : Math.min(99, Math.floor((100 * (Date.now() - startedAtMs)) / workMs));

const WORK_MS = 30;

/** Begins the text of a submission whose items last. */
export const LASTING = "lasting";

/** An executor after the platform's protocol; an item is done after a moment, or as its text says. */
export class ExecutorStandIn extends JsonServer {
  private readonly bornAtMs = Date.now();
  private readonly running = new Map<string, RunningItem>();
  private ends: [number, string, number, string, string][] = [];
  private readonly waiting = new Set<() => void>();
  private endNumber = 1;
  private fence = 0;
  private sequence = 0;
  /** Starts in the order they came. */
  readonly started: string[] = [];
  /** Answers to starts, in place of 200. */
  refuseStarts: Reply | null = null;

  constructor(
    readonly id: string,
    private readonly capacity = { cpu: 4_000, memMb: 4_096, gpu: 0 },
  ) {
    super();
  }

  /**
   * @param spec - Text of the submission; one that begins with a number says how many ms items work.
   * @returns How long its items work; null where they last.
   */
  private workMsOf(spec: string): number | null {
    if (spec.startsWith(LASTING)) {
      return null;
    }
    const ms = Number.parseInt(spec, 10);
    return Number.isNaN(ms) ? WORK_MS : ms;
  }

  /** @returns The entry that the executor writes into the store. */
  entry(service: string, at: string): object {
    this.sequence += 1;
    return {
      service,
      address: at,
      zone: "a",
      version: "v1",
      slots: 8,
      state: "ready",
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: ["a", "r1"],
      clockMs: this.clockMs(),
      born: this.bornAtMs,
      sequence: this.sequence,
      machine: `m-${this.id}`,
    };
  }

  protected override reply(
    _method: string,
    url: URL,
    body: unknown,
    headers: IncomingMessage["headers"],
  ): Promise<Reply> | Reply {
    if (headers["expected-instance"] !== this.id) {
      return { status: 421 };
    }
    const order = body as Order;
    if (order.fencingToken < this.fence) {
      return { status: 409, body: { clockMs: this.clockMs(), reason: "fence" } };
    }
    this.fence = order.fencingToken;
    switch (url.pathname) {
      case "/api/run-start":
        return this.start(order);
      case "/api/run-stop":
        this.end(order.task, "stopped");
        return { status: 200, body: { clockMs: this.clockMs() } };
      case "/api/hold":
        return this.hold(order);
      default:
        return { status: 404 };
    }
  }

  private clockMs(): number {
    return Date.now() - this.bornAtMs;
  }

  private start({ task, run, spec }: Order): Reply {
    if (this.refuseStarts !== null) {
      return this.refuseStarts;
    }
    this.started.push(task);
    const workMs = this.workMsOf(spec);
    const end =
      workMs === null
        ? null
        : setTimeout(() => {
            this.end(task, "done");
          }, workMs).unref();
    this.running.set(task, { run, startedAtMs: Date.now(), workMs, end });
    return { status: 200, body: { clockMs: this.clockMs(), born: this.bornAtMs } };
  }

  private async hold({ lastSeen, waitMs }: Order): Promise<Reply> {
    this.ends = this.ends.filter(([sequence]) => sequence > (lastSeen ?? 0));
    if (this.ends.length === 0 && waitMs !== undefined) {
      await this.nextEnd(waitMs);
    }
    const running = [...this.running].map(([task, item]) => [
      task,
      item.run,
      "",
      percentOf(item),
      100,
    ]);
    return {
      status: 200,
      body: { clockMs: this.clockMs(), born: this.bornAtMs, running, finished: this.ends },
    };
  }

  private async nextEnd(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private end(task: string, how: string): void {
    const item = this.running.get(task);
    if (item === undefined) {
      return;
    }
    clearTimeout(item.end ?? undefined);
    this.running.delete(task);
    this.ends.push([this.endNumber, task, item.run, how, ""]);
    this.endNumber += 1;
    this.waiting.forEach((wake) => {
      wake();
    });
    this.waiting.clear();
  }
}
