import {
  itemKeyOf,
  storeVersion,
  type SubmissionRow,
  type ItemKey,
  type Scan,
  type StoreRow,
  type SubmissionState,
} from "@heatherferry/core";
import { submissionRowAt, reportAt, batchRunsPerWorker, SITE_WORKLOAD } from "./siteWorkload.js";
import { SiteOwner } from "./siteOwner.js";
import { SiteWorker } from "./siteWorker.js";

const RUN_NUMBER = 1;
const START_MS = 1_000;
/** Runs that the previous owner started end from this time on, at an even rate. */
const FIRST_RUN_END_MS = 1_000;

/** State that the previous owner leaves: stored submissions and the runs on each worker. */
class PreviousOwnerState {
  readonly submissionRows: SubmissionRow[] = [];
  readonly running: {
    readonly worker: SiteWorker;
    readonly item: ItemKey;
    isLongRunning: boolean;
  }[] = [];
  private readonly states: SubmissionState[] = [];

  add(pool: number, isLongRunning: boolean, state: SubmissionState): SubmissionRow {
    const row = submissionRowAt(this.submissionRows.length, pool, isLongRunning, START_MS);
    this.submissionRows.push(row);
    this.states.push(state);
    return row;
  }

  /** Adds submissions so that each worker of a pool has `runsEach` runs of their items. */
  fill(
    workers: readonly SiteWorker[],
    pool: number,
    isLongRunning: boolean,
    runsEach: number,
  ): void {
    const size = isLongRunning ? SITE_WORKLOAD.LONG_RUNNING_ITEMS : SITE_WORKLOAD.ITEMS_PER_STEP;
    let row: SubmissionRow | null = null;
    for (let slot = 0; slot < workers.length * runsEach; slot += 1) {
      const worker = workers[slot % workers.length];
      if (row === null || slot % size === 0) {
        row = this.add(pool, isLongRunning, "running");
      }
      if (worker !== undefined) {
        const item = itemKeyOf(row.id, 0, 0, slot % size);
        this.running.push({ worker, item, isLongRunning });
      }
    }
  }

  rows(workers: readonly SiteWorker[]): Partial<Record<Scan, readonly StoreRow[]>> {
    const version = storeVersion(1);
    return {
      workers: workers.map(({ index }) => ({
        type: "worker",
        version,
        report: reportAt(index, START_MS),
      })),
      handIns: this.submissionRows.map((row) => ({ type: "handIn", version, submission: row })),
      progress: this.submissionRows.map((row, index) => ({
        type: "progress",
        version,
        progress: {
          id: row.id,
          state: this.states[index] ?? "queued",
          done: {},
          failures: {},
          endedWallMs: this.states[index] === "completed" ? START_MS : null,
        },
      })),
      leases: workers.map((worker) => ({
        type: "lease",
        version,
        worker: reportAt(worker.index, 0).id,
        lease: {
          pool: reportAt(worker.index, 0).pool,
          items: this.itemIndexesOf(worker),
          stopping: false,
        },
      })),
    };
  }

  private itemIndexesOf(worker: SiteWorker): Record<string, number[]> {
    const items: Record<string, number[]> = {};
    for (const key of worker.items()) {
      const separator = key.lastIndexOf(".");
      (items[key.slice(0, separator)] ??= []).push(Number(key.slice(separator + 1)));
    }
    return items;
  }
}

/** A simulated site whose workers are fully used, and a node that acquires its ownership. */
export interface SiteFleet {
  readonly owner: SiteOwner;
  /** Number of the next submission. */
  readonly nextSubmission: number;
}

/**
 * @param workerCount - Number of workers of the site.
 * @returns The site, before the new owner acquires ownership.
 */
export const createSiteFleet = (workerCount: number): SiteFleet => {
  const workers = Array.from({ length: workerCount }, (_unused, index) => new SiteWorker(index));
  const previous = new PreviousOwnerState();
  let batchRuns = 0;
  for (let pool = 0; pool < SITE_WORKLOAD.POOLS; pool += 1) {
    const members = workers.filter(({ index }) => index % SITE_WORKLOAD.POOLS === pool);
    batchRuns += members.length * batchRunsPerWorker(pool);
    previous.fill(members, pool, true, SITE_WORKLOAD.LONG_RUNNING_RUNS);
    previous.fill(members, pool, false, batchRunsPerWorker(pool));
  }
  for (let index = 0; index < SITE_WORKLOAD.ENDED_SUBMISSIONS; index += 1) {
    previous.add(index % SITE_WORKLOAD.POOLS, false, "completed");
  }
  const runEndsPerS = Math.min(
    SITE_WORKLOAD.MAX_RUN_ENDS_PER_S,
    SITE_WORKLOAD.RUN_ENDS_PER_WORKER_PER_S * workers.length,
  );
  const workMs = (1_000 * batchRuns) / runEndsPerS;
  previous.running.forEach(({ worker, item, isLongRunning }) => {
    const endsAtMs = isLongRunning ? Infinity : START_MS + 2 * workMs;
    worker.start({ item, run: RUN_NUMBER, beganAtMs: START_MS, endsAtMs });
  });
  const owner = new SiteOwner(workers, previous.rows(workers), workMs);
  previous.running.forEach(({ worker, item, isLongRunning }, index) => {
    if (!isLongRunning) {
      const share = (index * 0.618) % 1;
      owner.scheduleRunEnd(FIRST_RUN_END_MS + workMs * share, worker, item, RUN_NUMBER);
    }
  });
  return { owner, nextSubmission: previous.submissionRows.length };
};
