import {
  address,
  availabilityZoneId,
  entryHostId,
  hostId,
  incarnation,
  poolId,
  queueId,
  rackId,
  teamId,
} from "@heatherferry/common";
import {
  initialState,
  initialWork,
  NODE_ROLE,
  reduce,
  storeVersion,
  targetIn,
  workerId,
  type Effect,
  type EndLine,
  type Event,
  type Feed,
  type HandIn,
  type LeasedWorker,
  type RowToWrite,
  type RunningLine,
  type Scan,
  type State,
  type StoreRow,
  type SubmissionId,
  type WorkerReport,
  type WorkSpec,
} from "../../src/index.js";
import { BOUNDS, CATALOG } from "./siteFixtures.js";

type EffectOf<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;
export type LookEffect = EffectOf<"worker/look">;
export type StartEffect = EffectOf<"worker/start">;
type Untimed<Value> = Value extends unknown ? Omit<Value, "atMs"> : never;

const TICK_MS = 20;
const COMMIT_MS = 4;

/** @returns What a worker says of itself. */
export const reportOf = (id: string, bornWallMs: number, at = "10.0.0.1:1"): WorkerReport => ({
  id: workerId(id),
  host: hostId(`m-${id}`),
  pool: poolId("mills"),
  address: address(at),
  availabilityZone: availabilityZoneId("a"),
  rack: rackId("r"),
  labels: [],
  capacity: { cpuMilli: 4_000, memoryMb: 10_000, gpus: 0 },
  draining: false,
  drainRemainingMs: null,
  clockMs: 1_000,
  bornWallMs,
});

/** @returns What is stored of a submission. */
export const handInOf = (id: string, work: WorkSpec): HandIn => ({
  id: id as SubmissionId,
  queue: queueId("mills"),
  pool: poolId("mills"),
  team: teamId("lots"),
  acceptedWallMs: 0,
  work,
});

/** The one node of a site, which owns it; the test plays the workers, event by event. */
export class OwnerNode {
  nowMs = 1_000;
  readonly looks: LookEffect[] = [];
  readonly starts: StartEffect[] = [];
  readonly stops: EffectOf<"worker/stop">[] = [];
  private readonly lines: EffectOf<"log/write">[] = [];
  private readonly written: RowToWrite[] = [];
  readonly state: State;
  private readonly feeds = new Map<Feed, EffectOf<"store/feed">>();
  private readonly due: { readonly atMs: number; readonly event: Untimed<Event> }[] = [];
  private readonly settledLooks = new Set<LookEffect>();
  protected version = 1;

  /** @param rows - What the store holds when the node takes over. */
  constructor(private readonly rows: Partial<Record<Scan, readonly StoreRow[]>> = {}) {
    const identity = {
      role: NODE_ROLE.WORK,
      entryHostId: entryHostId("n0"),
      availabilityZone: availabilityZoneId("a"),
      incarnation: incarnation("n0-1"),
      callerAddress: address(""),
      peerAddress: address(""),
    };
    this.state = initialState(identity, 1, 0);
    this.state.work = initialWork({ holder: "n0", incarnation: "n0-1" }, BOUNDS, 1_000);
    this.run(1_000);
  }

  handle(event: Untimed<Event>): void {
    const timed = { ...event, atMs: this.nowMs, wallMs: this.nowMs } as Event;
    for (const effect of reduce(this.state, timed)) {
      this.carryOut(effect);
    }
  }

  /** Turns the clock; the store confirms every write. */
  run(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.nowMs < untilMs) {
      this.nowMs += COMMIT_MS;
      const ready = this.due.filter(({ atMs }) => atMs <= this.nowMs);
      for (const entry of ready) {
        this.due.splice(this.due.indexOf(entry), 1);
        this.handle(entry.event);
      }
      if (this.nowMs % TICK_MS === 0) {
        this.handle({ type: "clock/ticked" });
      }
    }
  }

  /** Shows the owner a worker's entry. */
  list(report: WorkerReport): void {
    this.feed("workers", { type: "worker", version: storeVersion(this.version), report });
  }

  /** Hands a submission in, which the owner sees at once. */
  submit(id: string, work: WorkSpec): void {
    const handIn = handInOf(id, work);
    this.feed("handIns", { type: "handIn", version: storeVersion(this.version + 1), handIn });
  }

  /** Cancels a submission, which the owner sees at once. */
  cancel(id: string): void {
    const version = storeVersion(this.version + 1);
    this.feed("handIns", { type: "cancel", version, id: id as SubmissionId });
  }

  /** @returns Lines of the log of one event. */
  logged(event: string): EffectOf<"log/write">[] {
    return this.lines.filter((line) => line.event === event);
  }

  /** @returns What was written of what may run on a worker, oldest first. */
  leaseRows(worker: string): LeasedWorker[] {
    return this.written.flatMap((row) =>
      row.type === "lease" && row.worker === worker ? [row.lease] : [],
    );
  }

  /** @returns The last look at a worker. */
  lookAt(id: string): LookEffect {
    const look = this.looks.findLast(({ worker }) => worker === id);
    if (look === undefined) {
      throw new Error(`no look at ${id}`);
    }
    return look;
  }

  /** @returns Looks that have no answer yet, oldest first. */
  openLooks(): LookEffect[] {
    return this.looks.filter((look) => !this.settledLooks.has(look));
  }

  /** Runs on until a look at a worker is under way. */
  nextLookAt(id: string): LookEffect {
    for (let waitedMs = 0; waitedMs < 2_000; waitedMs += TICK_MS) {
      const look = this.looks.findLast(({ worker }) => worker === id);
      if (look !== undefined && !this.settledLooks.has(look)) {
        return look;
      }
      this.run(TICK_MS);
    }
    throw new Error(`no look at ${id}`);
  }

  answerLook(
    look: LookEffect,
    seen: {
      readonly bornWallMs: number | null;
      readonly clockMs?: number;
      readonly running?: readonly RunningLine[];
      readonly ends?: readonly EndLine[];
      readonly endsComplete?: boolean;
      readonly sentAtMs?: number;
    },
  ): void {
    this.settledLooks.add(look);
    this.handle({
      type: "worker/looked",
      ...targetIn(look),
      sentAtMs: seen.sentAtMs ?? this.nowMs,
      clockMs: seen.clockMs ?? this.nowMs,
      seenBornWallMs: seen.bornWallMs,
      running: seen.running ?? [],
      ends: seen.ends ?? [],
      endsComplete: seen.endsComplete ?? true,
    });
  }

  failLook(look: LookEffect, wrongLife: boolean): void {
    this.settledLooks.add(look);
    this.handle({ type: "worker/lookFailed", ...targetIn(look), wrongLife, reason: "test" });
  }

  answerStart(
    start: StartEffect,
    result: "started" | "unanswered" | "unhealthy" | "refused" | "heldUp",
    answeredClockMs = this.nowMs,
  ): void {
    const { item, run } = start;
    this.handle({
      type: "worker/startAnswered",
      ...targetIn(start),
      item,
      run,
      result,
      reason: null,
      clockMs: result === "unanswered" || result === "heldUp" ? null : answeredClockMs,
    });
  }

  answerStop(stop: EffectOf<"worker/stop">): void {
    const { item, run } = stop;
    this.handle({
      type: "worker/stopAnswered",
      ...targetIn(stop),
      item,
      run,
      settled: true,
      wrongLife: false,
      clockMs: this.nowMs,
    });
  }

  protected feed(feed: Feed, row: StoreRow): void {
    const asked = this.nextFeed(feed);
    this.feeds.delete(feed);
    this.version += 1;
    const version = storeVersion(this.version);
    const answered = { sentAtMs: asked.sentAtMs, version, storeMs: this.nowMs };
    this.handle({ type: "store/feedAnswered", feed, rows: [row], ...answered });
  }

  /** Runs on until a feed is asked for. */
  private nextFeed(feed: Feed): EffectOf<"store/feed"> {
    for (let waitedMs = 0; waitedMs < 1_000; waitedMs += COMMIT_MS) {
      const asked = this.feeds.get(feed);
      if (asked !== undefined) {
        return asked;
      }
      this.run(COMMIT_MS);
    }
    throw new Error(`${feed} is not followed`);
  }

  private carryOut(effect: Effect): void {
    switch (effect.type) {
      case "worker/look":
        this.looks.push(effect);
        return;
      case "worker/start":
        this.starts.push(effect);
        return;
      case "worker/stop":
        this.stops.push(effect);
        return;
      case "log/write":
        this.lines.push(effect);
        return;
      case "store/feed":
        this.feeds.set(effect.feed, effect);
        this.due.push({ atMs: this.nowMs + effect.waitMs, event: this.noNews(effect) });
        return;
      case "store/scan":
        this.later({ ...this.scanned(), scan: effect.scan, rows: this.rowsOf(effect.scan) });
        return;
      case "store/commit":
        this.version += 1;
        this.written.push(...effect.writes);
        this.later({
          type: "store/commitSettled",
          commitId: effect.commitId,
          result: "committed",
          sentAtMs: this.nowMs,
          version: storeVersion(this.version),
          rows: [],
          reason: null,
        });
        return;
      default:
    }
  }

  /** What a feed answers that has nothing to tell in its time. */
  private noNews({ feed, sentAtMs, waitMs, after }: EffectOf<"store/feed">): Untimed<Event> {
    const storeMs = this.nowMs + waitMs;
    return { type: "store/feedAnswered", feed, rows: [], sentAtMs, version: after, storeMs };
  }

  private scanned(): Omit<Extract<Event, { type: "store/scanned" }>, "scan" | "rows" | "atMs"> {
    return {
      type: "store/scanned",
      sentAtMs: this.nowMs,
      version: storeVersion(this.version),
      storeMs: this.nowMs,
    };
  }

  private rowsOf(scan: Scan): readonly StoreRow[] {
    return scan === "operators"
      ? [{ type: "catalog", version: storeVersion(1), catalog: CATALOG }]
      : (this.rows[scan] ?? []);
  }

  private later(event: Untimed<Event>): void {
    this.due.push({ atMs: this.nowMs + COMMIT_MS, event });
  }
}
