import type { Resources } from "../../src/index.js";
import type { Fate, GrownSite } from "./grownSite.js";
import { partsOf, type MemoryWorker } from "./memoryWorker.js";

const LOOK_MS = 100;

/** Room of a pool, and what of it is taken. */
interface PoolRoom {
  readonly capacity: Resources;
  readonly used: Resources;
  readonly free: readonly Resources[];
}

const NONE: Resources = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

const added = (one: Resources, other: Resources, sign: 1 | -1 = 1): Resources => ({
  cpuMilli: one.cpuMilli + sign * other.cpuMilli,
  memoryMb: one.memoryMb + sign * other.memoryMb,
  gpus: one.gpus + sign * other.gpus,
});

const placesFor = (needs: Resources, { free }: PoolRoom): number =>
  free.reduce(
    (sum, { cpuMilli, memoryMb }) =>
      sum + Math.floor(Math.min(cpuMilli / needs.cpuMilli, memoryMb / needs.memoryMb)),
    0,
  );

/** A pool of which more than half is in use may let work wait. */
const isHalfFree = ({ capacity, used }: PoolRoom): boolean =>
  2 * used.cpuMilli < capacity.cpuMilli && 2 * used.memoryMb < capacity.memoryMb;

/** Looks again and again for submissions that nothing runs of, beside room for them twice over. */
export class RoomWatch {
  /** The longest that one has waited so. */
  mostWaitMs = 0;
  private readonly waitingSinceMs = new Map<string, number>();

  constructor(
    private readonly site: GrownSite,
    fromMs: number,
  ) {
    site.at(fromMs - site.nowMs, () => {
      this.look();
    });
  }

  private look(): void {
    const { fates, nowMs } = this.site;
    const rooms = new Map<string, PoolRoom>();
    for (const [id, fate] of fates) {
      const { pool } = fate.demand;
      const room = rooms.get(pool) ?? this.roomOf(pool);
      rooms.set(pool, room);
      if (this.waitsInVain(id, fate, room)) {
        const sinceMs = this.waitingSinceMs.get(id) ?? nowMs;
        this.waitingSinceMs.set(id, sinceMs);
        this.mostWaitMs = Math.max(this.mostWaitMs, nowMs - sinceMs);
      } else {
        this.waitingSinceMs.delete(id);
      }
    }
    this.site.at(LOOK_MS, () => {
      this.look();
    });
  }

  private waitsInVain(id: string, fate: Fate, room: PoolRoom): boolean {
    const [step] = fate.demand.work.steps;
    return (
      step !== undefined &&
      fate.running === 0 &&
      fate.done < fate.items &&
      this.site.isAccepted(id) &&
      isHalfFree(room) &&
      placesFor(step.needs, room) >= 2
    );
  }

  private roomOf(pool: string): PoolRoom {
    const workers = [...this.site.workers.values()].filter(({ report }) => report.pool === pool);
    const used = workers.map((worker) => this.usedOf(worker));
    return {
      capacity: workers.reduce((sum, { report }) => added(sum, report.capacity), NONE),
      used: used.reduce((sum, one) => added(sum, one), NONE),
      free: workers.map(({ report }, index) => added(report.capacity, used[index] ?? NONE, -1)),
    };
  }

  private usedOf(worker: MemoryWorker): Resources {
    worker.advance(this.site.nowMs);
    return [...worker.runs.keys()].reduce((sum, item) => {
      const [id, , step] = partsOf(item);
      return added(sum, this.site.fates.get(id)?.demand.work.steps[step]?.needs ?? NONE);
    }, NONE);
  }
}
