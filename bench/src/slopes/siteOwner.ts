import { performance } from "node:perf_hooks";
import { address, availabilityZoneId, entryHostId, incarnation } from "@heatherferry/common";
import {
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  reduce,
  storeVersion,
  echoedTarget,
  type Effect,
  type Event,
  type Feed,
  type SubmissionRow,
  type Scan,
  type State,
  type StoreRow,
  type WorkloadState,
} from "@heatherferry/core";
import { encodeRow } from "@heatherferry/wire";
import { EventCosts } from "./eventCosts.js";
import { reportAt, SITE_BOUNDS, SITE_CATALOG, SITE_WORKLOAD } from "./siteWorkload.js";
import type { SiteWorker } from "./siteWorker.js";
import { VirtualClock } from "./virtualClock.js";

type EffectOf<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;
type Untimed<Value> = Value extends unknown ? Omit<Value, "atMs"> : never;
type Poll = EffectOf<"worker/look">;
type Start = EffectOf<"worker/start">;

const TICK_MS = 20;
const COMMIT_DELAY_MS = 6;
const STORE_DELAY_MS = 5;
const NETWORK_DELAY_MS = 1;
const US_PER_MS = 1_000;
const PROCESSOR_MILLI = 1_350;

/** Owner of a simulated site; measures the handling cost of each event. */
export class SiteOwner {
  readonly costs = new EventCosts();
  /** State of the workload in the reducer. */
  readonly work: WorkloadState;
  private readonly state: State;
  rowBytes = 0;
  rowsWritten = 0;
  private version = 1;
  private readonly clock = new VirtualClock();
  private readonly feeds = new Map<Feed, EffectOf<"store/feed">>();
  private readonly feedRows: Record<Feed, StoreRow[]> = { operators: [], workers: [], handIns: [] };
  private readonly openPolls = new Map<SiteWorker, Poll>();
  private readonly workersByName = new Map<string, SiteWorker>();

  /**
   * @param workers - Workers of the site.
   * @param rows - Stored rows at the time when the node acquires ownership.
   * @param workMs - Duration of a run.
   */
  constructor(
    private readonly workers: readonly SiteWorker[],
    private readonly rows: Partial<Record<Scan, readonly StoreRow[]>>,
    private readonly workMs: number,
  ) {
    workers.forEach((worker) => {
      this.workersByName.set(reportAt(worker.index, 0).id, worker);
    });
    const identity = {
      role: NODE_ROLE.WORK,
      entryHostId: entryHostId("n0"),
      availabilityZone: availabilityZoneId("a"),
      incarnation: incarnation("n0-1"),
      callerAddress: address(""),
      peerAddress: address(""),
    };
    this.state = initialState(identity, 1, 0);
    const self = { holder: "n0", incarnation: "n0-1" };
    this.work = initialWorkloadState(self, SITE_BOUNDS, PROCESSOR_MILLI);
    this.state.work = this.work;
  }

  get nowMs(): number {
    return this.clock.nowMs;
  }

  /** Advances the clock by 1 ms. */
  advance(): void {
    this.clock.advance();
    if (this.work.owned?.active === true) {
      this.sendHeartbeats();
    }
    this.answerFeeds();
    if (this.nowMs % TICK_MS === 0) {
      this.handle("clock tick", { type: "clock/ticked" });
    }
  }

  /** Stores a submission; the owner receives it with the next answer of its feed. */
  submit(row: SubmissionRow): void {
    this.version += 1;
    this.feedRows.handIns.push({
      type: "handIn",
      version: storeVersion(this.version),
      submission: row,
    });
  }

  /** @returns Submissions in the backlog, including those that the owner has not received yet. */
  backlogSize(): number {
    const pools = [...(this.work.owned?.pools.values() ?? [])];
    return pools.reduce((sum, { backlog }) => sum + backlog.size, this.feedRows.handIns.length);
  }

  private handle(kind: string, event: Untimed<Event>): void {
    const timed = { ...event, atMs: this.nowMs, wallMs: this.nowMs } as Event;
    const stepsBefore = this.work.handlingCost.steps;
    const startMs = performance.now();
    const effects = reduce(this.state, timed);
    const us = (performance.now() - startMs) * US_PER_MS;
    this.costs.record(kind, us, this.work.handlingCost.steps - stepsBefore);
    effects.forEach((effect) => {
      this.execute(effect);
    });
  }

  private sendHeartbeats(): void {
    const { length } = this.workers;
    const phase = this.nowMs % SITE_WORKLOAD.HEARTBEAT_MS;
    for (
      let index = Math.ceil((phase * length) / SITE_WORKLOAD.HEARTBEAT_MS);
      index < ((phase + 1) * length) / SITE_WORKLOAD.HEARTBEAT_MS;
      index += 1
    ) {
      this.version += 1;
      const report = reportAt(index, this.nowMs);
      this.feedRows.workers.push({ type: "worker", version: storeVersion(this.version), report });
    }
  }

  private answerFeeds(): void {
    for (const [feed, { sentAtMs, waitMs }] of [...this.feeds]) {
      const rows = this.feedRows[feed];
      const openForMs = this.nowMs - sentAtMs;
      if ((rows.length > 0 && openForMs >= STORE_DELAY_MS) || openForMs >= waitMs) {
        this.feeds.delete(feed);
        this.feedRows[feed] = [];
        const kind = feed === "handIns" ? "submission feed answer" : `${feed} feed answer`;
        const version = storeVersion(this.version);
        const answered = { sentAtMs, rows, version, storeMs: this.nowMs };
        this.handle(kind, { type: "store/feedAnswered", feed, ...answered });
      }
    }
  }

  private workerById(id: string): SiteWorker {
    const worker = this.workersByName.get(id);
    if (worker === undefined) {
      throw new Error(`Worker ${id} is not part of the simulated site; pass it to the constructor`);
    }
    return worker;
  }

  private execute(effect: Effect): void {
    switch (effect.type) {
      case "worker/look":
        this.clock.schedule(NETWORK_DELAY_MS, () => {
          this.handlePoll(effect);
        });
        return;
      case "worker/start":
        this.clock.schedule(NETWORK_DELAY_MS, () => {
          this.handleStart(effect);
        });
        return;
      case "worker/stop":
        this.clock.schedule(NETWORK_DELAY_MS, () => {
          this.handleStop(effect);
        });
        return;
      case "store/feed":
        this.feeds.set(effect.feed, effect);
        return;
      case "store/scan":
        this.scan(effect.scan);
        return;
      case "store/commit":
        this.commit(effect);
        return;
      case "clock/wake":
        this.clock.schedule(effect.delayMs, () => {
          this.handle("clock wake-up", { type: "clock/ticked" });
        });
        return;
      default:
    }
  }

  private scan(scan: Scan): void {
    const rows: readonly StoreRow[] =
      scan === "operators"
        ? [{ type: "catalog", version: storeVersion(1), catalog: SITE_CATALOG }]
        : (this.rows[scan] ?? []);
    const sentAtMs = this.nowMs;
    this.clock.schedule(STORE_DELAY_MS, () => {
      const version = storeVersion(this.version);
      const read = { scan, sentAtMs, rows, version, storeMs: this.nowMs };
      this.handle(`scan ${scan}`, { type: "store/scanned", ...read });
    });
  }

  private commit(effect: EffectOf<"store/commit">): void {
    this.version += 1;
    for (const row of effect.writes) {
      this.rowBytes += encodeRow(row).text.length;
      this.rowsWritten += 1;
    }
    const version = storeVersion(this.version);
    const sentAtMs = this.nowMs;
    this.clock.schedule(COMMIT_DELAY_MS, () => {
      this.handle("commit answer", {
        type: "store/commitSettled",
        commitId: effect.commitId,
        result: "committed",
        sentAtMs,
        version,
        rows: [],
        reason: null,
      });
    });
  }

  private handlePoll(poll: Poll): void {
    const worker = this.workerById(poll.worker);
    if (
      poll.waitMs === 0 ||
      worker.pollAnswer(poll.acknowledgedSequence, this.nowMs).ends.length > 0
    ) {
      this.answerPoll(worker, poll);
      return;
    }
    this.openPolls.set(worker, poll);
    this.clock.schedule(poll.waitMs, () => {
      if (this.openPolls.get(worker) === poll) {
        this.answerPoll(worker, poll);
      }
    });
  }

  private answerPoll(worker: SiteWorker, poll: Poll): void {
    this.openPolls.delete(worker);
    const { running, ends } = worker.pollAnswer(poll.acknowledgedSequence, this.nowMs);
    const clockMs = this.nowMs;
    const sentAtMs = this.nowMs - 1;
    this.clock.schedule(NETWORK_DELAY_MS, () => {
      this.handle(ends.length > 0 ? "poll answer with run ends" : "poll answer", {
        type: "worker/looked",
        ...echoedTarget(poll),
        sentAtMs,
        clockMs,
        reportedStartWallMs: 1,
        running,
        ends,
        endsComplete: true,
      });
    });
  }

  private handleStart(start: Start): void {
    const { item, run } = start;
    const worker = this.workerById(start.worker);
    const endsAtMs = this.nowMs + this.workMs;
    worker.start({ item, run, beganAtMs: this.nowMs, endsAtMs });
    this.scheduleRunEnd(this.workMs, worker, item, run);
    const answered = { item, run, reason: null, clockMs: this.nowMs };
    this.clock.schedule(NETWORK_DELAY_MS, () => {
      const event = { type: "worker/startAnswered", ...echoedTarget(start), ...answered } as const;
      this.handle("start answer", { ...event, result: "started" });
    });
  }

  private handleStop(stop: EffectOf<"worker/stop">): void {
    const { item, run } = stop;
    this.endRun(this.workerById(stop.worker), item, run, "stopped");
    const answered = { item, run, settled: true, wrongIncarnation: false, clockMs: this.nowMs };
    this.clock.schedule(NETWORK_DELAY_MS, () => {
      this.handle("stop answer", {
        type: "worker/stopAnswered",
        ...echoedTarget(stop),
        ...answered,
      });
    });
  }

  /** Schedules the end of a run; also used for the runs that the previous owner has started. */
  scheduleRunEnd(delayMs: number, worker: SiteWorker, item: Start["item"], run: number): void {
    this.clock.schedule(delayMs, () => {
      this.endRun(worker, item, run, "done");
    });
  }

  private endRun(
    worker: SiteWorker,
    item: Start["item"],
    run: number,
    kind: "done" | "stopped",
  ): void {
    const poll = this.openPolls.get(worker);
    if (worker.end(item, run, kind) && poll !== undefined) {
      this.answerPoll(worker, poll);
    }
  }
}
