import {
  itemKeyOf,
  storeVersion,
  type SubmissionRow,
  type ItemKey,
  type Scan,
  type StoreRow,
  type SubmissionState,
} from "@heatherferry/core";
import { handInAt, reportAt, shortRuns, SITE_MIX } from "./siteMix.js";
import { SiteOwner } from "./siteOwner.js";
import { SiteWorker } from "./siteWorker.js";

const RUN = 1;
const START_MS = 1_000;
/** Work that the owner before began ends from then on, at an even rate. */
const TAKE_OVER_MS = 1_000;

/** What an owner before has left: submissions, and what runs on which worker. */
class Inheritance {
  readonly handIns: SubmissionRow[] = [];
  readonly running: { readonly worker: SiteWorker; readonly item: ItemKey; lasts: boolean }[] = [];
  private readonly states: SubmissionState[] = [];

  add(pool: number, lasts: boolean, state: SubmissionState): SubmissionRow {
    const row = handInAt(this.handIns.length, pool, lasts, START_MS);
    this.handIns.push(row);
    this.states.push(state);
    return row;
  }

  /** Has each worker of a pool run so many items of submissions of one kind. */
  fill(workers: readonly SiteWorker[], pool: number, lasts: boolean, runsEach: number): void {
    const size = lasts ? SITE_MIX.ITEMS_THAT_LAST : SITE_MIX.ITEMS_OF_A_STEP;
    let row: SubmissionRow | null = null;
    for (let slot = 0; slot < workers.length * runsEach; slot += 1) {
      const worker = workers[slot % workers.length];
      if (row === null || slot % size === 0) {
        row = this.add(pool, lasts, "running");
      }
      if (worker !== undefined) {
        const item = itemKeyOf(row.id, 0, 0, slot % size);
        this.running.push({ worker, item, lasts });
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
      handIns: this.handIns.map((row) => ({ type: "handIn", version, submission: row })),
      progress: this.handIns.map((row, index) => ({
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
          items: this.itemsOf(worker),
          stopping: false,
        },
      })),
    };
  }

  private itemsOf(worker: SiteWorker): Record<string, number[]> {
    const items: Record<string, number[]> = {};
    for (const key of worker.items()) {
      const at = key.lastIndexOf(".");
      (items[key.slice(0, at)] ??= []).push(Number(key.slice(at + 1)));
    }
    return items;
  }
}

/** A site whose workers are full, and a node that takes it over. */
export interface SiteFleet {
  readonly owner: SiteOwner;
  /** Number of the next submission. */
  readonly nextSubmission: number;
}

/**
 * @param workerCount - Workers of the site.
 * @returns The site, its new owner about to claim the work.
 */
export const siteFleet = (workerCount: number): SiteFleet => {
  const workers = Array.from({ length: workerCount }, (_unused, index) => new SiteWorker(index));
  const left = new Inheritance();
  let shorts = 0;
  for (let pool = 0; pool < SITE_MIX.POOLS; pool += 1) {
    const members = workers.filter(({ index }) => index % SITE_MIX.POOLS === pool);
    shorts += members.length * shortRuns(pool);
    left.fill(members, pool, true, SITE_MIX.LASTING_RUNS);
    left.fill(members, pool, false, shortRuns(pool));
  }
  for (let index = 0; index < SITE_MIX.ENDED; index += 1) {
    left.add(index % SITE_MIX.POOLS, false, "completed");
  }
  const endsPerS = Math.min(
    SITE_MIX.MOST_ENDS_PER_S,
    SITE_MIX.ENDS_A_WORKER_PER_S * workers.length,
  );
  const workMs = (1_000 * shorts) / endsPerS;
  left.running.forEach(({ worker, item, lasts }) => {
    const endsAtMs = lasts ? Infinity : START_MS + 2 * workMs;
    worker.start({ item, run: RUN, beganAtMs: START_MS, endsAtMs });
  });
  const owner = new SiteOwner(workers, left.rows(workers), workMs);
  left.running.forEach(({ worker, item, lasts }, index) => {
    if (!lasts) {
      const share = (index * 0.618) % 1;
      owner.endLater(TAKE_OVER_MS + workMs * share, worker, item, RUN);
    }
  });
  return { owner, nextSubmission: left.handIns.length };
};
