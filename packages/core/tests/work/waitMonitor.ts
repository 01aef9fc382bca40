import type { Resources } from "../../src/index.js";
import type { SubmissionOutcome, FullScaleSite } from "./fullScaleSite.js";
import { partsOf, type MemoryWorker } from "./memoryWorker.js";

const SAMPLE_MS = 100;

/** Capacity of a pool and its use. */
interface PoolCapacity {
  readonly capacity: Resources;
  readonly used: Resources;
  /** Free capacity of each worker. */
  readonly free: readonly Resources[];
}

const NO_RESOURCES: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

const sumOf = (one: Resources, other: Resources, sign: 1 | -1 = 1): Resources => ({
  cpuMilli: one.cpuMilli + sign * other.cpuMilli,
  memoryMb: one.memoryMb + sign * other.memoryMb,
  gpus: one.gpus + sign * other.gpus,
});

/** Returns how many items fit into the free capacity of a pool. */
const itemsThatFit = (needs: Resources, { free }: PoolCapacity): number =>
  free.reduce(
    (sum, { cpuMilli, memoryMb }) =>
      sum + Math.floor(Math.min(cpuMilli / needs.cpuMilli, memoryMb / needs.memoryMb)),
    0,
  );

/** Whether less than half of a pool is in use; work may wait in a fuller one. */
const isHalfFree = ({ capacity, used }: PoolCapacity): boolean =>
  2 * used.cpuMilli < capacity.cpuMilli && 2 * used.memoryMb < capacity.memoryMb;

/**
 * Samples periodically which accepted submissions have no running item although their pool is less
 * than half in use and at least two of their items would fit.
 */
export class WaitMonitor {
  /** Longest time for which a submission was in this state, in ms. */
  maxWaitMs = 0;
  private readonly waitingSinceMs = new Map<string, number>();

  constructor(
    private readonly site: FullScaleSite,
    fromMs: number,
  ) {
    site.schedule(fromMs - site.nowMs, () => {
      this.sample();
    });
  }

  private sample(): void {
    const { outcomes: submissions, nowMs } = this.site;
    const capacities = new Map<string, PoolCapacity>();
    for (const [id, outcome] of submissions) {
      const { pool } = outcome.demand;
      const poolCapacity = capacities.get(pool) ?? this.capacityOf(pool);
      capacities.set(pool, poolCapacity);
      if (this.waitsNeedlessly(id, outcome, poolCapacity)) {
        const sinceMs = this.waitingSinceMs.get(id) ?? nowMs;
        this.waitingSinceMs.set(id, sinceMs);
        this.maxWaitMs = Math.max(this.maxWaitMs, nowMs - sinceMs);
      } else {
        this.waitingSinceMs.delete(id);
      }
    }
    this.site.schedule(SAMPLE_MS, () => {
      this.sample();
    });
  }

  private waitsNeedlessly(
    id: string,
    outcome: SubmissionOutcome,
    poolCapacity: PoolCapacity,
  ): boolean {
    const [step] = outcome.demand.work.steps;
    return (
      step !== undefined &&
      outcome.running === 0 &&
      outcome.done < outcome.items &&
      this.site.isAccepted(id) &&
      isHalfFree(poolCapacity) &&
      itemsThatFit(step.needs, poolCapacity) >= 2
    );
  }

  private capacityOf(pool: string): PoolCapacity {
    const workers = [...this.site.workers.values()].filter(({ report }) => report.pool === pool);
    const usedByWorker = workers.map((worker) => this.usedOf(worker));
    return {
      capacity: workers.reduce((sum, { report }) => sumOf(sum, report.capacity), NO_RESOURCES),
      used: usedByWorker.reduce((sum, one) => sumOf(sum, one), NO_RESOURCES),
      free: workers.map(({ report }, index) =>
        sumOf(report.capacity, usedByWorker[index] ?? NO_RESOURCES, -1),
      ),
    };
  }

  private usedOf(worker: MemoryWorker): Resources {
    worker.advance(this.site.nowMs);
    return [...worker.runs.keys()].reduce((sum, item) => {
      const [id, , step] = partsOf(item);
      return sumOf(sum, this.site.outcomes.get(id)?.demand.work.steps[step]?.needs ?? NO_RESOURCES);
    }, NO_RESOURCES);
  }
}
