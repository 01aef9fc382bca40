/** Something that happens at a time; what is due at the same time happens in its order. */
export interface Due {
  readonly atMs: number;
  readonly order: number;
  readonly act: () => void;
}

const isSooner = (one: Due, other: Due): boolean =>
  one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);

/** What is due, soonest first. */
export class DueHeap {
  private readonly entries: Due[] = [];

  push(entry: Due): void {
    let index = this.entries.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = this.entries[parent];
      if (above === undefined || !isSooner(entry, above)) {
        break;
      }
      this.entries[index] = above;
      index = parent;
    }
    this.entries[index] = entry;
  }

  /** @returns What is due first, taken off, or null if it is later than that. */
  popUntil(untilMs: number): Due | null {
    const [first] = this.entries;
    if (first === undefined || first.atMs > untilMs) {
      return null;
    }
    const last = this.entries.pop();
    if (last !== undefined && last !== first) {
      this.sink(last);
    }
    return first;
  }

  /** Puts an entry in the place of the first, and down to where it belongs. */
  private sink(entry: Due): void {
    let index = 0;
    for (;;) {
      const child = this.soonerChild(index);
      const below = this.entries[child];
      if (below === undefined || !isSooner(below, entry)) {
        break;
      }
      this.entries[index] = below;
      index = child;
    }
    this.entries[index] = entry;
  }

  private soonerChild(index: number): number {
    const left = 2 * index + 1;
    const one = this.entries[left];
    const other = this.entries[left + 1];
    return one !== undefined && other !== undefined && isSooner(other, one) ? left + 1 : left;
  }
}
