import type { Worker } from "./state.js";

/** Workers of one bucket differ in free processor by less than this. */
const BUCKET_MILLI = 1_000;

const bucketOf = ({ usedCpuMilli, report }: Worker): number =>
  Math.floor(Math.max(0, report.capacity.cpuMilli - usedCpuMilli) / BUCKET_MILLI);

/** Workers by the processor that is free on them. */
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

  /** @returns Workers that may have so much free, the fullest first. */
  *from(cpuMilli: number): Generator<Worker> {
    const first = Math.floor(cpuMilli / BUCKET_MILLI);
    for (let bucket = first; bucket < this.buckets.length; bucket += 1) {
      yield* this.buckets[bucket] ?? [];
    }
  }
}

interface Place {
  readonly lasting: boolean;
  readonly bucket: number;
}

/** The workers of a pool by the room that is free on them. */
export class RoomIndex {
  private readonly places = new Map<Worker, Place>();
  /** Hosts that lasting work keeps on anyway are filled first. */
  private readonly withLasting = new Buckets();
  private readonly others = new Buckets();

  add(worker: Worker): void {
    worker.roomIndex = this;
    this.changed(worker);
  }

  delete(worker: Worker): void {
    this.takeOut(worker);
    worker.roomIndex = null;
  }

  /** Notes that other room is free on a worker. */
  changed(worker: Worker): void {
    const place = { lasting: worker.lastingRuns > 0, bucket: bucketOf(worker) };
    const before = this.places.get(worker);
    if (before?.lasting === place.lasting && before.bucket === place.bucket) {
      return;
    }
    this.takeOut(worker);
    this.places.set(worker, place);
    this.bucketsOf(place).add(worker, place.bucket);
  }

  /** @returns Workers that may have so much processor free, those that suit new work best first. */
  *from(cpuMilli: number): Generator<Worker> {
    yield* this.withLasting.from(cpuMilli);
    yield* this.others.from(cpuMilli);
  }

  private takeOut(worker: Worker): void {
    const place = this.places.get(worker);
    if (place !== undefined) {
      this.places.delete(worker);
      this.bucketsOf(place).delete(worker, place.bucket);
    }
  }

  private bucketsOf({ lasting }: Place): Buckets {
    return lasting ? this.withLasting : this.others;
  }
}
