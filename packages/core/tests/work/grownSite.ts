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
import type { Demand } from "./grownDemand.js";
import { partsOf, type MemoryWorker, type WorkerRun } from "./memoryWorker.js";
import { STANDBY } from "./siteFixtures.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

/** Hosts by pool: 250 in all. */
const HOSTS: Readonly<Record<string, number>> = {
  mills: 44,
  dies: 50,
  deeds: 56,
  marks: 60,
  [STANDBY]: 40,
};

const CAPACITY: Resources = { cpuMilli: 32_000, memoryMb: 65_536, gpus: 0 };

/** All that there is, so that no ceiling holds anything up. */
const CEILING: Resources = { cpuMilli: 250 * CAPACITY.cpuMilli, memoryMb: 0, gpus: 0 };

const OBJECTIVE = { STRETCH_FACTOR: 1.6, TARGET_MS: 600 } as const;

const WORKING_POOLS = Object.keys(HOSTS).filter((pool) => pool !== STANDBY);

const CATALOG: Catalog = {
  revision: 2,
  queues: WORKING_POOLS.map((name) => ({
    id: queueId(name),
    callerHost: "site.example",
    pathPrefix: `/${name}/`,
    pool: poolId(name),
    priority: 0,
    maxAttempts: 3,
    stretchFactor: OBJECTIVE.STRETCH_FACTOR,
    targetDurationMs: OBJECTIVE.TARGET_MS,
    openToAll: false,
  })),
  pools: Object.keys(HOSTS).map((name) => ({ id: poolId(name), standby: name === STANDBY })),
  teams: [{ id: teamId("lots"), keys: ["key"], weight: 1_000, ceiling: CEILING }],
  maxBodyBytes: 100_000,
};

/** Two nodes strong enough to own the work, the others at the door. */
const CORES = { STRONG: 1.35, DOOR: 0.324 } as const;

const STRONG_NODES = 2;

const DOOR_NODES = 3;

/** A caller that heard nothing good tries again after this time, so often. */
const RETRY_MS = 1_000;
const TRIES = 3;

/** Run times differ by this much from their estimates, to both sides, in percent. */
const SPREAD_PERCENT = 20;

/** What became of a submission. */
export interface Fate {
  readonly demand: Demand;
  readonly objectiveMs: number;
  items: number;
  running: number;
  done: number;
  /** When it was shown as completed. */
  shownAtMs: number | null;
}

const objectiveOf = ({ work }: Demand): number =>
  OBJECTIVE.TARGET_MS +
  OBJECTIVE.STRETCH_FACTOR * work.steps.reduce((sum, { estimateMs }) => sum + estimateMs, 0);

/** A site of 250 hosts in four pools and one on standby, as large as it is stated. */
export class GrownSite extends WorkSite {
  readonly fates = new Map<string, Fate>();
  /** Nodes with more of a processor than those at the door. */
  readonly strongNodes: readonly number[] = Array.from(
    { length: STRONG_NODES },
    (_, index) => index,
  );
  /** Runs that ended since nobody extended their worker's lease. */
  lapses = 0;
  /** Times that the work went from one node to another. */
  takeOvers = 0;
  /** The longest time between two writes of one owner's row. */
  mostRenewalGapMs = 0;
  private owner: { readonly holder: string; readonly writtenAtMs: number } | null = null;
  private readonly runningOn = new Map<ItemKey, MemoryWorker>();

  /**
   * @param processorPrice - Times that events cost what they usually do; null where they take no
   * time.
   */
  constructor(
    seed: number,
    protected override readonly processorPrice: number | null,
  ) {
    super(seed, 0, 0);
    this.looksWait = true;
    this.store.put("catalog", { type: "catalog", version: storeVersion(0), catalog: CATALOG });
    for (const [pool, hosts] of Object.entries(HOSTS)) {
      for (let index = 0; index < hosts; index += 1) {
        this.addHost(`${pool}-${index}`, pool);
      }
    }
    this.resizeWorkers([CAPACITY]);
    for (let index = 0; index < STRONG_NODES + DOOR_NODES; index += 1) {
      this.addNode(`n${index}`, index < STRONG_NODES ? CORES.STRONG : CORES.DOOR);
    }
  }

  /** Plans what callers hand in. */
  expect(demand: readonly Demand[]): void {
    demand.forEach((one, number) => {
      this.at(one.atMs - this.nowMs, () => {
        this.fates.set(one.id, {
          demand: one,
          objectiveMs: objectiveOf(one),
          items: one.work.steps.reduce((sum, { count }) => sum + count, 0),
          running: 0,
          done: 0,
          shownAtMs: null,
        });
        this.attempt(one, number, TRIES);
      });
    });
  }

  /** @returns The node that owns the work by the store's row. */
  ownerIndex(): number {
    return this.nodes.findIndex(({ name }) => name === this.owner?.holder);
  }

  /** @returns How long the owner was at work so far, in ms. */
  ownerBusyMs(): number {
    return this.nodes[this.ownerIndex()]?.processor?.busyMs ?? 0;
  }

  isAccepted(id: string): boolean {
    return this.accepted.has(id as SubmissionId);
  }

  private attempt(demand: Demand, number: number, tries: number): void {
    const { id, pool, work } = demand;
    if (tries > 0 && !this.accepted.has(id as SubmissionId)) {
      this.submit(id, pool, work, STRONG_NODES + ((number + tries) % DOOR_NODES));
      this.at(RETRY_MS, () => {
        this.attempt(demand, number, tries - 1);
      });
    }
  }

  override started(worker: MemoryWorker, run: WorkerRun): void {
    super.started(worker, run);
    this.runningOn.set(run.item, worker);
    const fate = this.fateOf(run.item);
    fate.running += 1;
  }

  override ended(end: EndLine): void {
    super.ended(end);
    const fate = this.fateOf(end.item);
    fate.running -= 1;
    fate.done += end.kind === END_KIND.DONE ? 1 : 0;
    this.lapses += end.kind === END_KIND.LAPSED ? 1 : 0;
  }

  /** The judge of small sites walks all workers at each start. */
  protected override judgeRoom(worker: MemoryWorker, run: WorkerRun): void {
    const other = this.runningOn.get(run.item);
    other?.advance(this.nowMs);
    if (other?.runs.has(run.item) === true) {
      throw new Error(`TWICE: ${run.item} on ${worker.report.id} and ${other.report.id}`);
    }
    this.judgeCapacity(worker, run);
  }

  protected override durationMs = (item: ItemKey): number => {
    const [id, , step] = partsOf(item);
    const estimateMs = this.specs.get(id)?.work.steps[step]?.estimateMs ?? 0;
    const drawn = (Number.parseInt(id, 16) * 31 + itemIndexOf(item) * 17 + step * 7) % 101;
    return (estimateMs * (100 + SPREAD_PERCENT * (drawn / 50 - 1))) / 100;
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
        const fate = this.fates.get(row.progress.id);
        if (fate !== undefined) {
          fate.shownAtMs ??= this.nowMs;
        }
      }
    }
  }

  private ownerWritten(holder: string): void {
    if (this.owner?.holder === holder) {
      const gapMs = this.nowMs - this.owner.writtenAtMs;
      this.mostRenewalGapMs = Math.max(this.mostRenewalGapMs, gapMs);
    } else {
      this.takeOvers += this.owner === null ? 0 : 1;
    }
    this.owner = { holder, writtenAtMs: this.nowMs };
  }

  private fateOf(item: ItemKey): Fate {
    const fate = this.fates.get(partsOf(item)[0]);
    if (fate === undefined) {
      throw new Error(`UNASKED: ${item}`);
    }
    return fate;
  }
}
