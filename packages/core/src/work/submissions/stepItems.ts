import type { Item } from "./itemState.js";

/** The items of a step of an occurrence. Only those that may run soon are held in memory. */
export class StepItems {
  /** Index of the first item that was never opened in order. */
  nextIndex = 0;
  doneCount = 0;
  /** Whether the steps that it depends on are done. */
  isUnblocked = false;
  private readonly open = new Map<number, Item>();

  /** @param count - Number of items of the step. */
  constructor(readonly count: number) {}

  get isDone(): boolean {
    return this.doneCount >= this.count;
  }

  /** Returns an item that is open, or null. */
  get(index: number): Item | null {
    return this.open.get(index) ?? null;
  }

  /** Returns the open items. */
  items(): readonly Item[] {
    return [...this.open.values()];
  }

  add(item: Item): void {
    this.open.set(item.index, item);
  }

  /** Counts an item as done, which needs no memory any more. */
  close(index: number): void {
    this.open.delete(index);
    this.doneCount += 1;
  }
}
