import type { Worker } from "../state.js";

/** Range of free processor time that one bucket covers, in thousandths of a core. */
const BUCKET_MILLI = 1_000;

const bucketOf = ({ usedCpuMilli, report }: Worker): number =>
  Math.floor(Math.max(0, report.capacity.cpuMilli - usedCpuMilli) / BUCKET_MILLI);

/** Returns the index of the first of the ascending numbers that is at least `least`. */
const firstFrom = (numbers: readonly number[], least: number): number => {
  let from = 0;
  let until = numbers.length;
  while (from < until) {
    const middle = (from + until) >>> 1;
    if ((numbers[middle] ?? Infinity) < least) {
      from = middle + 1;
    } else {
      until = middle;
    }
  }
  return from;
};

/**
 * Workers bucketed by their free processor time. Only buckets with workers are kept, so the cost
 * depends on the number of workers and not on the capacity that they report.
 */
class Buckets {
  private readonly buckets = new Map<number, Set<Worker>>();
  /** Numbers of these buckets, in ascending order. */
  private readonly numbers: number[] = [];

  add(worker: Worker, bucket: number): void {
    const workers = this.buckets.get(bucket);
    if (workers === undefined) {
      this.buckets.set(bucket, new Set([worker]));
      this.numbers.splice(firstFrom(this.numbers, bucket), 0, bucket);
    } else {
      workers.add(worker);
    }
  }

  delete(worker: Worker, bucket: number): void {
    const workers = this.buckets.get(bucket);
    if (workers?.delete(worker) === true && workers.size === 0) {
      this.buckets.delete(bucket);
      this.numbers.splice(firstFrom(this.numbers, bucket), 1);
    }
  }

  /**
   * Iterates over the workers that may have `cpuMilli` free, the fullest first. No worker may be
   * added or deleted meanwhile.
   */
  *withFreeCpu(cpuMilli: number): Generator<Worker> {
    const { numbers } = this;
    const first = firstFrom(numbers, Math.floor(cpuMilli / BUCKET_MILLI));
    for (let index = first; index < numbers.length; index += 1) {
      yield* this.buckets.get(numbers[index] ?? NaN) ?? [];
    }
  }
}

interface Slot {
  readonly hasLongRunning: boolean;
  readonly bucket: number;
  readonly labels: readonly string[];
}

/** Index of the workers of a pool by free capacity. */
export class CapacityIndex {
  private readonly slots = new Map<Worker, Slot>();
  /** Filled first, since long-running work keeps the hosts of these workers in use in any case. */
  private readonly withLongRunning = new Buckets();
  private readonly others = new Buckets();
  /** Number of workers by label. */
  private readonly labelCounts = new Map<string, number>();
  /** Rises with each label that no other worker of the pool has. */
  labelsVersion = 0;

  /** Whether a worker of the pool has a label. */
  hasLabel(label: string): boolean {
    return this.labelCounts.has(label);
  }

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
    const { labels } = worker.report;
    const slot = { hasLongRunning: worker.longRunningRuns > 0, bucket: bucketOf(worker), labels };
    const previous = this.slots.get(worker);
    if (
      previous?.hasLongRunning === slot.hasLongRunning &&
      previous.bucket === slot.bucket &&
      previous.labels === labels
    ) {
      return;
    }
    this.removeFromBucket(worker);
    this.slots.set(worker, slot);
    this.bucketsOf(slot).add(worker, slot.bucket);
    labels.forEach((label) => {
      const count = this.labelCounts.get(label) ?? 0;
      this.labelsVersion += count === 0 ? 1 : 0;
      this.labelCounts.set(label, count + 1);
    });
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
      slot.labels.forEach((label) => {
        this.removeLabel(label);
      });
    }
  }

  private removeLabel(label: string): void {
    const count = (this.labelCounts.get(label) ?? 0) - 1;
    if (count > 0) {
      this.labelCounts.set(label, count);
    } else {
      this.labelCounts.delete(label);
    }
  }

  private bucketsOf({ hasLongRunning }: Slot): Buckets {
    return hasLongRunning ? this.withLongRunning : this.others;
  }
}
