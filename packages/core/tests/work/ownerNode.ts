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
  initialWorkloadState,
  NODE_ROLE,
  reduce,
  storeVersion,
  echoedTarget,
  workerId,
  type Commit,
  type Effect,
  type EndLine,
  type Event,
  type Feed,
  type SubmissionRow,
  type LeasedWorker,
  type RowName,
  type RowToWrite,
  type RunningLine,
  type Scan,
  type State,
  type StoreRow,
  type SubmissionId,
  type WorkerReport,
  type WorkSpec,
} from "../../src/index.js";
import { refusalOf } from "./memoryStore.js";
import { BOUNDS, CATALOG } from "./siteFixtures.js";

type EffectOf<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;
export type PollEffect = EffectOf<"worker/look">;
export type StartEffect = EffectOf<"worker/start">;
type Untimed<Value> = Value extends unknown ? Omit<Value, "atMs"> : never;

const TICK_MS = 20;
const COMMIT_MS = 4;

/** Returns a worker's registration. */
export const reportOf = (id: string, startWallMs: number, at = "10.0.0.1:1"): WorkerReport => ({
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
  startWallMs,
  coldRemainingMs: 0,
});

export const submissionRowOf = (id: string, work: WorkSpec): SubmissionRow => ({
  id: id as SubmissionId,
  queue: queueId("mills"),
  pool: poolId("mills"),
  team: teamId("lots"),
  acceptedWallMs: 0,
  work,
});

/** A lone owner. Its store confirms every commit, and the test supplies the answers of workers. */
export class OwnerNode {
  nowMs = 1_000;
  readonly polls: PollEffect[] = [];
  readonly starts: StartEffect[] = [];
  readonly stops: EffectOf<"worker/stop">[] = [];
  private readonly logLines: EffectOf<"log/write">[] = [];
  /** Rows that commits have written and keys of those that they have removed, oldest first. */
  readonly writtenRows: RowToWrite[] = [];
  readonly removedRows: RowName[] = [];
  readonly state: State;
  private readonly feeds = new Map<Feed, EffectOf<"store/feed">>();
  private readonly due: { readonly atMs: number; readonly event: Untimed<Event> }[] = [];
  private readonly settledPolls = new Set<PollEffect>();
  protected version = 1;
  /** What the store rejects a commit for; null if it accepts it. */
  rejectionOf: (commit: Commit) => string | null = refusalOf;
  /** Why commits were rejected, oldest first. */
  readonly rejections: string[] = [];

  /** @param rows - Rows that the store holds when the node acquires ownership. */
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
    this.state.work = initialWorkloadState({ holder: "n0", incarnation: "n0-1" }, BOUNDS, 1_000);
    this.run(1_000);
  }

  handle(event: Untimed<Event>): void {
    const timed = { ...event, atMs: this.nowMs, wallMs: this.nowMs } as Event;
    for (const effect of reduce(this.state, timed)) {
      this.apply(effect);
    }
  }

  /** Advances the clock, with ticks and the answers of the store that are due. */
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

  register(report: WorkerReport): void {
    this.answerFeed("workers", { type: "worker", version: storeVersion(this.version), report });
  }

  submit(id: string, work: WorkSpec): void {
    const submission = submissionRowOf(id, work);
    this.answerFeed("handIns", {
      type: "handIn",
      version: storeVersion(this.version + 1),
      submission,
    });
  }

  cancel(id: string): void {
    const version = storeVersion(this.version + 1);
    this.answerFeed("handIns", { type: "cancel", version, id: id as SubmissionId });
  }

  logged(event: string): EffectOf<"log/write">[] {
    return this.logLines.filter((line) => line.event === event);
  }

  /** Returns the lease rows written for a worker, oldest first. */
  writtenLeases(worker: string): LeasedWorker[] {
    return this.writtenRows.flatMap((row) =>
      row.type === "lease" && row.worker === worker ? [row.lease] : [],
    );
  }

  lastPollOf(id: string): PollEffect {
    const poll = this.polls.findLast(({ worker }) => worker === id);
    if (poll === undefined) {
      throw new Error(`no poll of worker ${id} was sent`);
    }
    return poll;
  }

  openPolls(): PollEffect[] {
    return this.polls.filter((poll) => !this.settledPolls.has(poll));
  }

  /** Runs until a poll of a worker is in flight, and returns it. */
  nextPollOf(id: string): PollEffect {
    for (let waitedMs = 0; waitedMs < 2_000; waitedMs += TICK_MS) {
      const poll = this.polls.findLast(({ worker }) => worker === id);
      if (poll !== undefined && !this.settledPolls.has(poll)) {
        return poll;
      }
      this.run(TICK_MS);
    }
    throw new Error(`no poll of worker ${id} was sent`);
  }

  answerPoll(
    poll: PollEffect,
    answer: {
      readonly startWallMs: number | null;
      readonly clockMs?: number;
      readonly running?: readonly RunningLine[];
      readonly ends?: readonly EndLine[];
      readonly endsComplete?: boolean;
      readonly sentAtMs?: number;
    },
  ): void {
    this.settledPolls.add(poll);
    this.handle({
      type: "worker/looked",
      ...echoedTarget(poll),
      sentAtMs: answer.sentAtMs ?? this.nowMs,
      clockMs: answer.clockMs ?? this.nowMs,
      reportedStartWallMs: answer.startWallMs,
      running: answer.running ?? [],
      ends: answer.ends ?? [],
      endsComplete: answer.endsComplete ?? true,
    });
  }

  failPoll(poll: PollEffect, wrongIncarnation: boolean): void {
    this.settledPolls.add(poll);
    this.handle({
      type: "worker/lookFailed",
      ...echoedTarget(poll),
      wrongIncarnation,
      reason: "test",
    });
  }

  answerStart(
    start: StartEffect,
    result: "started" | "unanswered" | "unhealthy" | "refused" | "heldUp",
    answeredClockMs = this.nowMs,
  ): void {
    const { item, run } = start;
    this.handle({
      type: "worker/startAnswered",
      ...echoedTarget(start),
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
      ...echoedTarget(stop),
      item,
      run,
      settled: true,
      wrongIncarnation: false,
      clockMs: this.nowMs,
    });
  }

  protected answerFeed(feed: Feed, row: StoreRow): void {
    const request = this.nextFeed(feed);
    this.feeds.delete(feed);
    this.version += 1;
    const version = storeVersion(this.version);
    const answered = { sentAtMs: request.sentAtMs, version, storeMs: this.nowMs };
    this.handle({ type: "store/feedAnswered", feed, rows: [row], ...answered });
  }

  private nextFeed(feed: Feed): EffectOf<"store/feed"> {
    for (let waitedMs = 0; waitedMs < 1_000; waitedMs += COMMIT_MS) {
      const request = this.feeds.get(feed);
      if (request !== undefined) {
        return request;
      }
      this.run(COMMIT_MS);
    }
    throw new Error(`feed ${feed} was not requested`);
  }

  private apply(effect: Effect): void {
    switch (effect.type) {
      case "worker/look":
        this.polls.push(effect);
        return;
      case "worker/start":
        this.starts.push(effect);
        return;
      case "worker/stop":
        this.stops.push(effect);
        return;
      case "log/write":
        this.logLines.push(effect);
        return;
      case "store/feed":
        this.feeds.set(effect.feed, effect);
        this.due.push({ atMs: this.nowMs + effect.waitMs, event: this.emptyAnswer(effect) });
        return;
      case "store/scan":
        this.answerLater({ ...this.scanned(), scan: effect.scan, rows: this.rowsOf(effect.scan) });
        return;
      case "store/commit": {
        const reason = this.rejectionOf(effect);
        if (reason !== null) {
          this.rejections.push(reason);
          this.answerLater({ ...this.settled(effect), result: "rejected", version: null, reason });
          return;
        }
        this.version += 1;
        this.writtenRows.push(...effect.writes);
        this.removedRows.push(...effect.removes);
        const version = storeVersion(this.version);
        this.answerLater({ ...this.settled(effect), result: "committed", version, reason: null });
        return;
      }
      default:
    }
  }

  private settled({ commitId }: EffectOf<"store/commit">) {
    return { type: "store/commitSettled" as const, commitId, sentAtMs: this.nowMs, rows: [] };
  }

  private emptyAnswer({ feed, sentAtMs, waitMs, after }: EffectOf<"store/feed">): Untimed<Event> {
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
    const catalog: StoreRow = { type: "catalog", version: storeVersion(1), catalog: CATALOG };
    return [...(scan === "operators" ? [catalog] : []), ...(this.rows[scan] ?? [])];
  }

  private answerLater(event: Untimed<Event>): void {
    this.due.push({ atMs: this.nowMs + COMMIT_MS, event });
  }
}
