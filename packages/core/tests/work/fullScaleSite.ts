import { poolId, queueId, teamId } from "@heatherferry/common";
import {
  END_KIND,
  itemIndexOf,
  storeVersion,
  SUBMISSION_STATE,
  type Catalog,
  type Effect,
  type EndLine,
  type ItemKey,
  type Resources,
  type SubmissionId,
} from "../../src/index.js";
import type { PlannedSubmission } from "./fullScaleLoad.js";
import { partsOf, type MemoryWorker, type WorkerRun } from "./memoryWorker.js";
import { STANDBY_POOL } from "./siteFixtures.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

/** Hosts by pool, 250 in all. */
const HOSTS: Readonly<Record<string, number>> = {
  mills: 44,
  dies: 50,
  deeds: 56,
  marks: 60,
  [STANDBY_POOL]: 40,
};

const CAPACITY: Resources = { cpuMilli: 32_000, memoryMb: 65_536, gpus: 0 };

/** The processor capacity of all hosts, so that the ceiling never delays work. */
const CEILING: Resources = { cpuMilli: 250 * CAPACITY.cpuMilli, memoryMb: 0, gpus: 0 };

const TARGET = { STRETCH_FACTOR: 1.6, DURATION_MS: 600 } as const;

const WORKING_POOLS = Object.keys(HOSTS).filter((pool) => pool !== STANDBY_POOL);

const CATALOG: Catalog = {
  revision: 2,
  queues: WORKING_POOLS.map((name) => ({
    id: queueId(name),
    callerHost: "site.example",
    pathPrefix: `/${name}/`,
    pool: poolId(name),
    priority: 0,
    maxAttempts: 3,
    stretchFactor: TARGET.STRETCH_FACTOR,
    targetDurationMs: TARGET.DURATION_MS,
    openToAll: false,
  })),
  pools: Object.keys(HOSTS).map((name) => ({ id: poolId(name), standby: name === STANDBY_POOL })),
  teams: [{ id: teamId("lots"), keys: ["key"], weight: 1_000, ceiling: CEILING }],
  maxBodyBytes: 100_000,
};

/** Processor time of a node, in cores: enough to be the owner, or only to accept calls. */
const CORES = { OWNER: 1.35, FRONT: 0.324 } as const;

const OWNER_NODES = 2;

const FRONT_NODES = 3;

/** A caller whose submission is not accepted retries after this time, up to `TRIES` attempts. */
const RETRY_MS = 1_000;
const TRIES = 3;

/** Run times deviate from their estimates by up to this much in both directions. */
const DEVIATION_PERCENT = 20;

/** Outcome of a submission. */
export interface SubmissionOutcome {
  readonly demand: PlannedSubmission;
  readonly targetDurationMs: number;
  items: number;
  running: number;
  done: number;
  /** When it was first persisted as completed. */
  completedAtMs: number | null;
}

const targetDurationOf = ({ work }: PlannedSubmission): number =>
  TARGET.DURATION_MS +
  TARGET.STRETCH_FACTOR * work.steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);

/** Simulated site of full size: 250 hosts in four working pools and a standby pool. */
export class FullScaleSite extends WorkSite {
  readonly outcomes = new Map<string, SubmissionOutcome>();
  /** Indices of the nodes with enough processor time to be the owner. */
  readonly ownerCandidates: readonly number[] = Array.from(
    { length: OWNER_NODES },
    (_, index) => index,
  );
  /** Runs that ended because their worker's lease expired. */
  expiredRuns = 0;
  /** Times that ownership changed from one node to another. */
  ownerChanges = 0;
  /** Longest time between two writes of the owner's row by the same owner, in ms. */
  maxRenewalGapMs = 0;
  private owner: { readonly holder: string; readonly writtenAtMs: number } | null = null;
  private readonly runningOn = new Map<ItemKey, MemoryWorker>();

  /**
   * @param eventCostFactor - Factor on the usual processor time of events; null if they take none.
   */
  constructor(
    seed: number,
    protected override readonly eventCostFactor: number | null,
  ) {
    super(seed, 0, 0);
    this.pollsWait = true;
    this.store.put("catalog", { type: "catalog", version: storeVersion(0), catalog: CATALOG });
    for (const [pool, hosts] of Object.entries(HOSTS)) {
      for (let index = 0; index < hosts; index += 1) {
        this.addHost(`${pool}-${index}`, pool);
      }
    }
    this.resizeWorkers([CAPACITY]);
    for (let index = 0; index < OWNER_NODES + FRONT_NODES; index += 1) {
      this.addNode(`n${index}`, index < OWNER_NODES ? CORES.OWNER : CORES.FRONT);
    }
  }

  /** Schedules the submissions of callers. */
  scheduleSubmissions(demand: readonly PlannedSubmission[]): void {
    demand.forEach((submission, number) => {
      this.schedule(submission.atMs - this.nowMs, () => {
        this.outcomes.set(submission.id, {
          demand: submission,
          targetDurationMs: targetDurationOf(submission),
          items: submission.work.steps.reduce((sum, { count }) => sum + count, 0),
          running: 0,
          done: 0,
          completedAtMs: null,
        });
        this.attempt(submission, number, TRIES);
      });
    });
  }

  /** Returns the index of the node that the owner row identifies. */
  ownerIndex(): number {
    return this.nodes.findIndex(({ name }) => name === this.owner?.holder);
  }

  /** Returns the processor time that the owner has used so far, in ms. */
  ownerBusyMs(): number {
    return this.nodes[this.ownerIndex()]?.processor?.busyMs ?? 0;
  }

  isAccepted(id: string): boolean {
    return this.accepted.has(id as SubmissionId);
  }

  private attempt(demand: PlannedSubmission, number: number, triesLeft: number): void {
    const { id, pool, work } = demand;
    if (triesLeft > 0 && !this.accepted.has(id as SubmissionId)) {
      this.submit(id, pool, work, OWNER_NODES + ((number + triesLeft) % FRONT_NODES));
      this.schedule(RETRY_MS, () => {
        this.attempt(demand, number, triesLeft - 1);
      });
    }
  }

  override started(worker: MemoryWorker, run: WorkerRun): void {
    super.started(worker, run);
    this.runningOn.set(run.item, worker);
    const outcome = this.outcomeOf(run.item);
    outcome.running += 1;
  }

  override ended(end: EndLine): void {
    super.ended(end);
    const outcome = this.outcomeOf(end.item);
    outcome.running -= 1;
    outcome.done += end.kind === END_KIND.DONE ? 1 : 0;
    this.expiredRuns += end.kind === END_KIND.LEASE_EXPIRED ? 1 : 0;
  }

  /** Checks only the worker that last ran the item, since checking all at each start is slow. */
  protected override checkRunStart(worker: MemoryWorker, run: WorkerRun): void {
    const other = this.runningOn.get(run.item);
    other?.advance(this.nowMs);
    if (other?.runs.has(run.item) === true) {
      throw new Error(`${run.item} runs twice: on ${worker.report.id} and ${other.report.id}`);
    }
    this.checkCapacity(worker, run);
  }

  protected override durationMs = (item: ItemKey): number => {
    const [id, , step] = partsOf(item);
    const estimateMs = this.submissionRows.get(id)?.work.steps[step]?.estimateMs ?? 0;
    const draw = (Number.parseInt(id, 16) * 31 + itemIndexOf(item) * 17 + step * 7) % 101;
    return (estimateMs * (100 + DEVIATION_PERCENT * (draw / 50 - 1))) / 100;
  };

  protected override commit(
    node: SiteNode,
    commit: Extract<Effect, { type: "store/commit" }>,
    sentAtMs: number,
  ): void {
    const before = this.store.version;
    super.commit(node, commit, sentAtMs);
    if (this.store.version === before) {
      return;
    }
    for (const row of commit.writes) {
      if (row.type === "owner") {
        this.ownerWritten(row.owner.holder);
      } else if (row.type === "progress" && row.progress.state === SUBMISSION_STATE.COMPLETED) {
        const outcome = this.outcomes.get(row.progress.id);
        if (outcome !== undefined) {
          outcome.completedAtMs ??= this.nowMs;
        }
      }
    }
  }

  private ownerWritten(holder: string): void {
    if (this.owner?.holder === holder) {
      const gapMs = this.nowMs - this.owner.writtenAtMs;
      this.maxRenewalGapMs = Math.max(this.maxRenewalGapMs, gapMs);
    } else {
      this.ownerChanges += this.owner === null ? 0 : 1;
    }
    this.owner = { holder, writtenAtMs: this.nowMs };
  }

  private outcomeOf(item: ItemKey): SubmissionOutcome {
    const outcome = this.outcomes.get(partsOf(item)[0]);
    if (outcome === undefined) {
      throw new Error(
        `${item} runs but its submission was never made; pass it to scheduleSubmissions() first`,
      );
    }
    return outcome;
  }
}
