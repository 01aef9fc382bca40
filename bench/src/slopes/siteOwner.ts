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
import { reportAt, SITE_BOUNDS, SITE_CATALOG, SITE_MIX } from "./siteMix.js";
import type { SiteWorker } from "./siteWorker.js";
import { VirtualTime } from "./virtualTime.js";

type EffectOf<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;
type Untimed<Value> = Value extends unknown ? Omit<Value, "atMs"> : never;
type Look = EffectOf<"worker/look">;
type Start = EffectOf<"worker/start">;

const TICK_MS = 20;
const COMMIT_MS = 6;
const STORE_MS = 5;
const HOP_MS = 1;
const US_PER_MS = 1_000;
const PROCESSOR_MILLI = 1_350;

/** One owner in a site of virtual workers; what each event costs it is measured. */
export class SiteOwner {
  readonly costs = new EventCosts();
  /** What the reducer knows of the submissions. */
  readonly work: WorkloadState;
  private readonly state: State;
  rowBytes = 0;
  rowsWritten = 0;
  private version = 1;
  private readonly time = new VirtualTime();
  private readonly feeds = new Map<Feed, EffectOf<"store/feed">>();
  private readonly news: Record<Feed, StoreRow[]> = { operators: [], workers: [], handIns: [] };
  private readonly looks = new Map<SiteWorker, Look>();
  private readonly workersByName = new Map<string, SiteWorker>();

  /**
   * @param workers - The site's workers.
   * @param rows - What the store holds when the node takes over.
   * @param workMs - What the work of an item takes.
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
    const who = { holder: "n0", incarnation: "n0-1" };
    this.work = initialWorkloadState(who, SITE_BOUNDS, PROCESSOR_MILLI);
    this.state.work = this.work;
  }

  get nowMs(): number {
    return this.time.nowMs;
  }

  /** Turns the clock by one ms. */
  step(): void {
    this.time.step();
    if (this.work.owned?.active === true) {
      this.beat();
    }
    this.answerFeeds();
    if (this.nowMs % TICK_MS === 0) {
      this.handle("clock tick", { type: "clock/ticked" });
    }
  }

  /** Hands a submission in; the owner sees it in its feed. */
  submit(handIn: SubmissionRow): void {
    this.version += 1;
    this.news.handIns.push({
      type: "handIn",
      version: storeVersion(this.version),
      submission: handIn,
    });
  }

  /** @returns Submissions with items that wait, those included that the owner has not seen yet. */
  waiting(): number {
    const pools = [...(this.work.owned?.pools.values() ?? [])];
    return pools.reduce((sum, { backlog }) => sum + backlog.size, this.news.handIns.length);
  }

  private handle(kind: string, event: Untimed<Event>): void {
    const timed = { ...event, atMs: this.nowMs, wallMs: this.nowMs } as Event;
    const stepsBefore = this.work.handlingCost.steps;
    const startMs = performance.now();
    const effects = reduce(this.state, timed);
    const us = (performance.now() - startMs) * US_PER_MS;
    this.costs.note(kind, us, this.work.handlingCost.steps - stepsBefore);
    effects.forEach((effect) => {
      this.carryOut(effect);
    });
  }

  private beat(): void {
    const { length } = this.workers;
    const phase = this.nowMs % SITE_MIX.BEAT_MS;
    for (
      let index = Math.ceil((phase * length) / SITE_MIX.BEAT_MS);
      index < ((phase + 1) * length) / SITE_MIX.BEAT_MS;
      index += 1
    ) {
      this.version += 1;
      const report = reportAt(index, this.nowMs);
      this.news.workers.push({ type: "worker", version: storeVersion(this.version), report });
    }
  }

  private answerFeeds(): void {
    for (const [feed, { sentAtMs, waitMs }] of [...this.feeds]) {
      const rows = this.news[feed];
      const agedMs = this.nowMs - sentAtMs;
      if ((rows.length > 0 && agedMs >= STORE_MS) || agedMs >= waitMs) {
        this.feeds.delete(feed);
        this.news[feed] = [];
        const kind = feed === "handIns" ? "hand-ins, a feed's answer" : `${feed}, a feed's answer`;
        const version = storeVersion(this.version);
        const answered = { sentAtMs, rows, version, storeMs: this.nowMs };
        this.handle(kind, { type: "store/feedAnswered", feed, ...answered });
      }
    }
  }

  private workerNamed(id: string): SiteWorker {
    const worker = this.workersByName.get(id);
    if (worker === undefined) {
      throw new Error(`No worker ${id}`);
    }
    return worker;
  }

  private carryOut(effect: Effect): void {
    switch (effect.type) {
      case "worker/look":
        this.time.after(HOP_MS, () => {
          this.lookArrived(effect);
        });
        return;
      case "worker/start":
        this.time.after(HOP_MS, () => {
          this.startArrived(effect);
        });
        return;
      case "worker/stop":
        this.time.after(HOP_MS, () => {
          this.stopArrived(effect);
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
        this.time.after(effect.delayMs, () => {
          this.handle("clock, woken", { type: "clock/ticked" });
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
    this.time.after(STORE_MS, () => {
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
    this.time.after(COMMIT_MS, () => {
      this.handle("write's answer", {
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

  private lookArrived(look: Look): void {
    const worker = this.workerNamed(look.worker);
    if (look.waitMs === 0 || worker.shown(look.acknowledgedSequence, this.nowMs).ends.length > 0) {
      this.answerLook(worker, look);
      return;
    }
    this.looks.set(worker, look);
    this.time.after(look.waitMs, () => {
      if (this.looks.get(worker) === look) {
        this.answerLook(worker, look);
      }
    });
  }

  private answerLook(worker: SiteWorker, look: Look): void {
    this.looks.delete(worker);
    const { running, ends } = worker.shown(look.acknowledgedSequence, this.nowMs);
    const clockMs = this.nowMs;
    const sentAtMs = this.nowMs - 1;
    this.time.after(HOP_MS, () => {
      this.handle(ends.length > 0 ? "look's answer, with ends" : "look's answer", {
        type: "worker/looked",
        ...echoedTarget(look),
        sentAtMs,
        clockMs,
        reportedStartWallMs: 1,
        running,
        ends,
        endsComplete: true,
      });
    });
  }

  private startArrived(start: Start): void {
    const { item, run } = start;
    const worker = this.workerNamed(start.worker);
    const endsAtMs = this.nowMs + this.workMs;
    worker.start({ item, run, beganAtMs: this.nowMs, endsAtMs });
    this.endLater(this.workMs, worker, item, run);
    const answered = { item, run, reason: null, clockMs: this.nowMs };
    this.time.after(HOP_MS, () => {
      const event = { type: "worker/startAnswered", ...echoedTarget(start), ...answered } as const;
      this.handle("start's answer", { ...event, result: "started" });
    });
  }

  private stopArrived(stop: EffectOf<"worker/stop">): void {
    const { item, run } = stop;
    this.ended(this.workerNamed(stop.worker), item, run, "stopped");
    const answered = { item, run, settled: true, wrongIncarnation: false, clockMs: this.nowMs };
    this.time.after(HOP_MS, () => {
      this.handle("stop's answer", {
        type: "worker/stopAnswered",
        ...echoedTarget(stop),
        ...answered,
      });
    });
  }

  /** Ends a run after some time, as the work of the owner before does. */
  endLater(delayMs: number, worker: SiteWorker, item: Start["item"], run: number): void {
    this.time.after(delayMs, () => {
      this.ended(worker, item, run, "done");
    });
  }

  private ended(
    worker: SiteWorker,
    item: Start["item"],
    run: number,
    kind: "done" | "stopped",
  ): void {
    const look = this.looks.get(worker);
    if (worker.end(item, run, kind) && look !== undefined) {
      this.answerLook(worker, look);
    }
  }
}
