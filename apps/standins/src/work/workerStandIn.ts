import type { IncomingMessage } from "node:http";
import { ChangeSignal } from "./changeSignal.js";
import { JsonServer, type Reply } from "./jsonServer.js";
import type { WorkerOrder } from "./workerTypes.js";

interface RunningItem {
  readonly run: number;
  readonly startedAtMs: number;
  /** Null for an item that runs until it is stopped. */
  readonly workMs: number | null;
  readonly end: NodeJS.Timeout | null;
}

const percentDone = ({ startedAtMs, workMs }: RunningItem): number =>
  workMs === null ? 100 : Math.min(99, Math.floor((100 * (Date.now() - startedAtMs)) / workMs));

const DEFAULT_WORK_MS = 30;

/** Prefix of the text of a submission whose items are long-running. */
export const LONG_RUNNING_PREFIX = "lasting";

/**
 * Worker that speaks the platform's protocol and simulates the work of its items. By default an
 * item works for `DEFAULT_WORK_MS`; the text of its submission can set another time.
 */
export class WorkerStandIn extends JsonServer {
  private readonly startedAtMs = Date.now();
  private readonly running = new Map<string, RunningItem>();
  private runEnds: [number, string, number, string, string][] = [];
  private readonly endSignal = new ChangeSignal();
  private nextEndSequence = 1;
  private fence = 0;
  private registrationSequence = 0;
  /** Tasks of the start orders, in the order of their arrival. */
  readonly startedTasks: string[] = [];
  /** Reply to every start order in place of carrying it out; null to carry start orders out. */
  startRefusal: Reply | null = null;

  constructor(
    readonly id: string,
    private readonly capacity = { cpu: 4_000, memMb: 4_096, gpu: 0 },
  ) {
    super();
  }

  /**
   * Returns the work time of the items of a submission, in ms; null for long-running items.
   *
   * @param spec - Text of the submission; a leading number is the work time in ms.
   */
  private workMsOf(spec: string): number | null {
    if (spec.startsWith(LONG_RUNNING_PREFIX)) {
      return null;
    }
    const ms = Number.parseInt(spec, 10);
    return Number.isNaN(ms) ? DEFAULT_WORK_MS : ms;
  }

  /** Returns a new registration, as the worker writes it to the store. */
  registration(service: string, at: string): object {
    this.registrationSequence += 1;
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
      born: this.startedAtMs,
      sequence: this.registrationSequence,
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
    const order = body as WorkerOrder;
    if (order.fencingToken < this.fence) {
      return { status: 409, body: { clockMs: this.clockMs(), reason: "fence" } };
    }
    this.fence = order.fencingToken;
    switch (url.pathname) {
      case "/api/run-start":
        return this.start(order);
      case "/api/run-stop":
        this.endRun(order.task, "stopped");
        return { status: 200, body: { clockMs: this.clockMs() } };
      case "/api/hold":
        return this.reportStatus(order);
      default:
        return { status: 404 };
    }
  }

  private clockMs(): number {
    return Date.now() - this.startedAtMs;
  }

  private start({ task, run, spec }: WorkerOrder): Reply {
    if (this.startRefusal !== null) {
      return this.startRefusal;
    }
    this.startedTasks.push(task);
    const workMs = this.workMsOf(spec);
    const end =
      workMs === null
        ? null
        : setTimeout(() => {
            this.endRun(task, "done");
          }, workMs).unref();
    this.running.set(task, { run, startedAtMs: Date.now(), workMs, end });
    return { status: 200, body: { clockMs: this.clockMs(), born: this.startedAtMs } };
  }

  private async reportStatus({ lastSeen, waitMs }: WorkerOrder): Promise<Reply> {
    this.runEnds = this.runEnds.filter(([sequence]) => sequence > (lastSeen ?? 0));
    if (this.runEnds.length === 0 && waitMs !== undefined) {
      await this.endSignal.next(waitMs);
    }
    const running = [...this.running].map(([task, item]) => [
      task,
      item.run,
      "",
      percentDone(item),
      100,
    ]);
    return {
      status: 200,
      body: { clockMs: this.clockMs(), born: this.startedAtMs, running, finished: this.runEnds },
    };
  }

  private endRun(task: string, outcome: string): void {
    const item = this.running.get(task);
    if (item === undefined) {
      return;
    }
    clearTimeout(item.end ?? undefined);
    this.running.delete(task);
    this.runEnds.push([this.nextEndSequence, task, item.run, outcome, ""]);
    this.nextEndSequence += 1;
    this.endSignal.notify();
  }
}
