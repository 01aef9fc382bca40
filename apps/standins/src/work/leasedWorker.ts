import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { ChangeSignal } from "./changeSignal.js";
import { EndList, type ListedEnd } from "./endList.js";
import { JsonServer, type Reply } from "./jsonServer.js";
import type { RunObserver } from "./runObserver.js";
import { RunTimers, type SimulatedRun } from "./runTimers.js";
import { RUN_END, WORKER_BOUND } from "./workerConstants.js";
import type { RunEnd, WorkerIdentity, WorkerOrder, WorkerTraits } from "./workerTypes.js";

/**
 * Worker that keeps the platform's protocol in full: fencing tokens, leases on its own clock, run
 * numbers, and ends that it lists until they are acknowledged.
 */
export class LeasedWorker extends JsonServer {
  private startedAtMs = Date.now();
  private clockStartMs = performance.now();
  private fence = 0;
  private leaseUntilMs = 0;
  private sequence = 0;
  private ends = new EndList();
  private readonly highestEnded = new Map<string, number>();
  private readonly endSignal = new ChangeSignal();
  private readonly reachableSignal = new ChangeSignal();
  private readonly running = new Map<string, SimulatedRun>();
  private readonly timers: RunTimers;
  private readonly leaseTimer: NodeJS.Timeout;
  private address = "";
  private downSinceMs: number | null = null;
  /** What is wrong with it at present. */
  readonly traits: WorkerTraits = {
    down: false,
    keepsCalls: false,
    isCutOff: false,
    draining: false,
    failsAll: false,
    stalls: false,
    lateOrderShare: 0,
  };

  /**
   * @param identity - Where it runs and what it offers.
   * @param observer - Hears of each run.
   * @param fraction - Returns a fraction that depends on the text alone; decides which runs fail.
   */
  constructor(
    readonly identity: WorkerIdentity,
    private readonly observer: RunObserver,
    private readonly fraction: (text: string) => number,
  ) {
    super();
    this.timers = new RunTimers((item, end) => {
      this.endRun(item, end);
    });
    this.leaseTimer = setInterval(() => {
      this.expireLease();
    }, WORKER_BOUND.LEASE_CHECK_MS);
  }

  override async listen(): Promise<string> {
    this.address = await super.listen();
    return this.address;
  }

  override async close(): Promise<void> {
    clearInterval(this.leaseTimer);
    this.killAll();
    await super.close();
  }

  /** Returns a new registration, as the worker writes it to the store. */
  registration(): object {
    const { pool, zone, host, rack, capacity } = this.identity;
    this.sequence += 1;
    return {
      service: pool,
      address: this.address,
      zone,
      version: "1",
      slots: 8,
      state: this.traits.draining ? "draining" : "ready",
      ...(this.traits.draining ? { drainRemainingMs: WORKER_BOUND.DRAIN_MS } : {}),
      coldRemainingMs: 0,
      capacity,
      labels: ["plain", rack],
      clockMs: this.clockMs(),
      born: this.startedAtMs,
      sequence: this.sequence,
      machine: host,
    };
  }

  /** Time since its last crash, in ms; 0 while it is up. */
  get downForMs(): number {
    return this.downSinceMs === null ? 0 : performance.now() - this.downSinceMs;
  }

  /** Ends all runs at once and forgets everything, as in a crash. */
  crash(): void {
    this.traits.down = true;
    this.downSinceMs = performance.now();
    this.killAll();
    this.dropConnections();
  }

  /** Comes back after a crash under the same id, with a new clock and no history. */
  restart(): void {
    this.startedAtMs = Date.now();
    this.clockStartMs = performance.now();
    this.fence = 0;
    this.leaseUntilMs = 0;
    this.sequence = 0;
    this.ends = new EndList();
    this.highestEnded.clear();
    this.traits.down = false;
    this.downSinceMs = null;
    this.reachableSignal.notify();
  }

  /** Cuts it off from all callers, or connects it again. */
  setCutOff(isCutOff: boolean): void {
    this.traits.isCutOff = isCutOff;
    this.reachableSignal.notify();
  }

  protected override async reply(
    _method: string,
    url: URL,
    body: unknown,
    headers: IncomingMessage["headers"],
    connection: Socket,
  ): Promise<Reply> {
    if (this.traits.down && this.traits.keepsCalls) {
      await this.reachableSignal.next(WORKER_BOUND.KEPT_CALL_MS);
    }
    if (this.traits.down || connection.destroyed) {
      return { status: 503, lost: true };
    }
    if (this.traits.isCutOff) {
      return this.loseAfterCut();
    }
    const order = body as WorkerOrder;
    if (url.pathname !== "/api/hold" && this.isLate(order)) {
      setTimeout(() => {
        void this.carryOut(url.pathname, order, headers);
      }, WORKER_BOUND.LATE_ORDER_MS);
      await new Promise((resolve) => setTimeout(resolve, WORKER_BOUND.LATE_ORDER_MS));
      return { status: 503, lost: true };
    }
    const reply = await this.carryOut(url.pathname, order, headers);
    // The crash or the cut may have come while a poll waited for an end.
    if (this.isCutOff()) {
      return this.loseAfterCut();
    }
    return this.isDown() ? { status: 503, lost: true } : reply;
  }

  /** Leaves a call without an answer as long as the worker is cut off. */
  private async loseAfterCut(): Promise<Reply> {
    await this.reachableSignal.next(WORKER_BOUND.KEPT_CALL_MS);
    return { status: 503, lost: true };
  }

  private isCutOff(): boolean {
    return this.traits.isCutOff;
  }

  private isDown(): boolean {
    return this.traits.down;
  }

  private isLate({ task, run }: WorkerOrder): boolean {
    const { lateOrderShare } = this.traits;
    return lateOrderShare > 0 && this.fraction(`late ${task} ${run}`) < lateOrderShare;
  }

  private carryOut(
    path: string,
    order: WorkerOrder,
    headers: IncomingMessage["headers"],
  ): Promise<Reply> | Reply {
    if (headers["expected-instance"] !== this.identity.id) {
      return { status: 421 };
    }
    if (this.traits.down || order.fencingToken < this.fence) {
      return { status: 409, body: this.withClock({ reason: "fence" }) };
    }
    this.fence = order.fencingToken;
    switch (path) {
      case "/api/run-start":
        return this.start(order);
      case "/api/run-stop":
        return this.stop(order);
      case "/api/hold":
        return this.hold(order);
      case "/api/pace":
        return { status: 200, body: this.withClock({}) };
      default:
        return { status: 404 };
    }
  }

  private clockMs(): number {
    return Math.round(performance.now() - this.clockStartMs);
  }

  private withClock(body: object): object {
    return { clockMs: this.clockMs(), born: this.startedAtMs, ...body };
  }

  private extendLease(deadlineMs: number | undefined): void {
    if (deadlineMs !== undefined) {
      const untilMs = Math.min(deadlineMs, this.clockMs() + WORKER_BOUND.MAX_LEASE_MS);
      this.leaseUntilMs = Math.max(this.leaseUntilMs, untilMs);
    }
  }

  private expireLease(): void {
    if (this.clockMs() > this.leaseUntilMs) {
      this.ends.outdate();
      for (const item of [...this.running.keys()]) {
        this.endRun(item, RUN_END.LEASE_EXPIRED);
      }
    }
  }

  private start({ task, run, spec, deadlineMs, checkpoint }: WorkerOrder): Reply {
    const present = this.running.get(task);
    if (present?.run === run) {
      this.extendLease(deadlineMs);
      return { status: 200, body: this.withClock({}) };
    }
    if (present !== undefined || run <= (this.highestEnded.get(task) ?? 0)) {
      this.extendLease(deadlineMs);
      return { status: 409, body: this.withClock({ reason: "old" }) };
    }
    if (deadlineMs !== undefined && deadlineMs <= this.clockMs()) {
      return { status: 409, body: this.withClock({ reason: "late" }) };
    }
    this.extendLease(deadlineMs);
    const { failsAll, stalls } = this.traits;
    const conditions = { spec, chance: this.fraction(`${task} ${run}`), failsAll, stalls };
    this.running.set(task, this.timers.begin(task, run, conditions, checkpoint ?? ""));
    this.observer.runStarted(this.identity.id, task);
    return { status: 200, body: this.withClock({}) };
  }

  private stop({ task, run }: WorkerOrder): Reply {
    const present = this.running.get(task);
    if (present?.run === run) {
      this.timers.stop(task, present);
    } else {
      this.recordEnded(task, run);
    }
    return { status: 200, body: this.withClock({}) };
  }

  private async hold({ deadlineMs, lastSeen, waitMs }: WorkerOrder): Promise<Reply> {
    this.extendLease(deadlineMs);
    this.observeAcknowledged(this.ends.acknowledge(lastSeen ?? 0));
    if (this.ends.isEmpty && waitMs !== undefined) {
      await this.endSignal.next(waitMs);
    }
    const running = [...this.running]
      .filter(([, { stopping }]) => !stopping)
      .map(([task, run]) => [task, run.run, run.checkpoint, this.timers.percentOf(run), 100]);
    const finished = this.ends.rows(WORKER_BOUND.MAX_LISTED_ENDS);
    return { status: 200, body: this.withClock({ running, finished }) };
  }

  private recordEnded(item: string, run: number): void {
    this.highestEnded.set(item, Math.max(this.highestEnded.get(item) ?? 0, run));
  }

  private endRun(item: string, end: RunEnd): void {
    const run = this.running.get(item);
    if (run === undefined) {
      return;
    }
    this.timers.cancel(run);
    this.running.delete(item);
    this.recordEnded(item, run.run);
    this.observer.runEnded(this.identity.id, item, run.run, end);
    this.observeAcknowledged(this.ends.add(item, run.run, end, run.checkpoint));
    this.endSignal.notify();
  }

  private observeAcknowledged(ends: readonly ListedEnd[]): void {
    for (const { item, run, end } of ends) {
      this.observer.endAcknowledged(this.identity.id, item, run, end);
    }
  }

  private killAll(): void {
    for (const [item, run] of this.running) {
      this.timers.cancel(run);
      this.running.delete(item);
      this.observer.runEnded(this.identity.id, item, run.run, RUN_END.CRASHED);
    }
  }
}
