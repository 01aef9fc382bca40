import type { Worker } from "./state.js";

/** Workers of one shelf differ in free processor by less than this. */
const SHELF_MILLI = 1_000;

const shelfOf = ({ usedCpuMilli, report }: Worker): number =>
  Math.floor(Math.max(0, report.capacity.cpuMilli - usedCpuMilli) / SHELF_MILLI);

/** Workers by the processor that is free on them. */
class Shelves {
  private readonly shelves: Set<Worker>[] = [];

  add(worker: Worker, shelf: number): void {
    for (let empty = this.shelves.length; empty <= shelf; empty += 1) {
      this.shelves.push(new Set());
    }
    this.shelves[shelf]?.add(worker);
  }

  delete(worker: Worker, shelf: number): void {
    this.shelves[shelf]?.delete(worker);
  }

  /** @returns Workers that may have so much free, the fullest first. */
  *from(cpuMilli: number): Generator<Worker> {
    const first = Math.floor(cpuMilli / SHELF_MILLI);
    for (let shelf = first; shelf < this.shelves.length; shelf += 1) {
      yield* this.shelves[shelf] ?? [];
    }
  }
}

interface Place {
  readonly lasting: boolean;
  readonly shelf: number;
}

/** The workers of a pool by the room that is free on them. */
export class RoomIndex {
  private readonly places = new Map<Worker, Place>();
  /** Hosts that lasting work keeps on anyway are filled first. */
  private readonly withLasting = new Shelves();
  private readonly others = new Shelves();

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
    const place = { lasting: worker.lastingRuns > 0, shelf: shelfOf(worker) };
    const before = this.places.get(worker);
    if (before?.lasting === place.lasting && before.shelf === place.shelf) {
      return;
    }
    this.takeOut(worker);
    this.places.set(worker, place);
    this.shelvesOf(place).add(worker, place.shelf);
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
      this.shelvesOf(place).delete(worker, place.shelf);
    }
  }

  private shelvesOf({ lasting }: Place): Shelves {
    return lasting ? this.withLasting : this.others;
  }
}
