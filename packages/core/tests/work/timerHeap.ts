/** An action due at a time. Actions due at the same time run in the order of `order`. */
export interface DueAction {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isEarlier = (one: DueAction, other: DueAction): boolean =>
  one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);

/** Binary heap of due actions, the earliest first. */
export class TimerHeap {
  private readonly entries: DueAction[] = [];

  push(entry: DueAction): void {
    let index = this.entries.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = this.entries[parent];
      if (above === undefined || !isEarlier(entry, above)) {
        break;
      }
      this.entries[index] = above;
      index = parent;
    }
    this.entries[index] = entry;
  }

  /** Removes and returns the earliest action, or returns null if it is due after `untilMs`. */
  popUntil(untilMs: number): DueAction | null {
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

  /** Replaces the first entry by another one and moves that down to restore the heap order. */
  private sink(entry: DueAction): void {
    let index = 0;
    for (;;) {
      const child = this.earlierChild(index);
      const below = this.entries[child];
      if (below === undefined || !isEarlier(below, entry)) {
        break;
      }
      this.entries[index] = below;
      index = child;
    }
    this.entries[index] = entry;
  }

  private earlierChild(index: number): number {
    const left = 2 * index + 1;
    const one = this.entries[left];
    const other = this.entries[left + 1];
    return one !== undefined && other !== undefined && isEarlier(other, one) ? left + 1 : left;
  }
}
