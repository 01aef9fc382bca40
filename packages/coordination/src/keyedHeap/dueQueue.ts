import { KeyedHeap } from "./keyedHeap.js";

/** What is due at a time, by that time in ms. */
export class DueQueue<Item> extends KeyedHeap<Item, number> {
  protected override isBefore(one: number, other: number): boolean {
    return one < other;
  }

  /** @returns When the next item is due, in ms; infinite where there is none. */
  nextAtMs(): number {
    return this.firstKey() ?? Infinity;
  }

  /** @returns What is due by now, which is taken out, the longest due first. */
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
