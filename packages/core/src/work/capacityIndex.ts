import type { Worker } from "./state.js";

/** Range of free processor time that one bucket covers, in thousandths of a core. */
const BUCKET_MILLI = 1_000;

const bucketOf = ({ usedCpuMilli, report }: Worker): number =>
  Math.floor(Math.max(0, report.capacity.cpuMilli - usedCpuMilli) / BUCKET_MILLI);

/** Workers bucketed by their free processor time. */
class Buckets {
  private readonly buckets: Set<Worker>[] = [];

  add(worker: Worker, bucket: number): void {
    for (let empty = this.buckets.length; empty <= bucket; empty += 1) {
      this.buckets.push(new Set());
    }
    this.buckets[bucket]?.add(worker);
  }

  delete(worker: Worker, bucket: number): void {
    this.buckets[bucket]?.delete(worker);
  }

  /** Iterates over the workers that may have `cpuMilli` free, the fullest first. */
  *withFreeCpu(cpuMilli: number): Generator<Worker> {
    const first = Math.floor(cpuMilli / BUCKET_MILLI);
    for (let bucket = first; bucket < this.buckets.length; bucket += 1) {
      yield* this.buckets[bucket] ?? [];
    }
  }
}

interface Slot {
  readonly hasLongRunning: boolean;
  readonly bucket: number;
}

/** Index of the workers of a pool by free capacity. */
export class CapacityIndex {
  private readonly slots = new Map<Worker, Slot>();
  /** Filled first, since long-running work keeps the hosts of these workers in use in any case. */
  private readonly withLongRunning = new Buckets();
  private readonly others = new Buckets();

  add(worker: Worker): void {
    worker.capacityIndex = this;
    this.update(worker);
  }

  delete(worker: Worker): void {
    this.removeFromBucket(worker);
    worker.capacityIndex = null;
  }

  /** Updates the position of a worker after its free capacity has changed. */
  update(worker: Worker): void {
    const slot = { hasLongRunning: worker.longRunningRuns > 0, bucket: bucketOf(worker) };
    const previous = this.slots.get(worker);
    if (previous?.hasLongRunning === slot.hasLongRunning && previous.bucket === slot.bucket) {
      return;
    }
    this.removeFromBucket(worker);
    this.slots.set(worker, slot);
    this.bucketsOf(slot).add(worker, slot.bucket);
  }

  /** Iterates over the workers that may have `cpuMilli` free, the best for new work first. */
  *withFreeCpu(cpuMilli: number): Generator<Worker> {
    yield* this.withLongRunning.withFreeCpu(cpuMilli);
    yield* this.others.withFreeCpu(cpuMilli);
  }

  private removeFromBucket(worker: Worker): void {
    const slot = this.slots.get(worker);
    if (slot !== undefined) {
      this.slots.delete(worker);
      this.bucketsOf(slot).delete(worker, slot.bucket);
    }
  }

  private bucketsOf({ hasLongRunning }: Slot): Buckets {
    return hasLongRunning ? this.withLongRunning : this.others;
  }
}
