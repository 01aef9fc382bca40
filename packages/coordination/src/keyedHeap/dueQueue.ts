import { KeyedHeap } from "./keyedHeap.js";

/** Items ordered by the time in ms at which they are due. */
export class DueQueue<Item> extends KeyedHeap<Item, number> {
  protected override isBefore(one: number, other: number): boolean {
    return one < other;
  }

  /** @returns The time in ms at which the next item is due; infinite where there is none. */
  nextAtMs(): number {
    return this.firstKey() ?? Infinity;
  }

  /** Removes and returns the items that are due by `nowMs`, earliest due time first. */
  takeDue(nowMs: number): Item[] {
    const due: Item[] = [];
    while (this.nextAtMs() <= nowMs) {
      const item = this.first();
      if (item === null) {
        break;
      }
      this.delete(item);
      due.push(item);
    }
    return due;
  }
}
