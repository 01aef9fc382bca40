interface Entry<Item, Key> {
  readonly item: Item;
  key: Key;
  /** Rises with each insertion, so that of equal keys the entry inserted first comes first. */
  readonly order: number;
}

/**
 * Binary heap of items by key, with an index by item. Reading the first item takes constant time;
 * adding, moving and removing an item take logarithmic time.
 */
export abstract class KeyedHeap<Item, Key> {
  private readonly entries: Entry<Item, Key>[] = [];
  private readonly positions = new Map<Item, number>();
  private nextOrder = 0;

  /** @returns Whether the first key comes before the second. */
  protected abstract isBefore(one: Key, other: Key): boolean;

  get size(): number {
    return this.entries.length;
  }

  /** @returns The first item, or null where there is none. */
  first(): Item | null {
    return this.entries[0]?.item ?? null;
  }

  /** @returns The key of the first item, or null where there is none. */
  firstKey(): Key | null {
    return this.entries[0]?.key ?? null;
  }

  /** Iterates over the items and their keys in no particular order. */
  *[Symbol.iterator](): Iterator<readonly [Item, Key]> {
    for (const { item, key } of this.entries) {
      yield [item, key];
    }
  }

  /** Adds an item under a key, or changes the key of an item that is already there. */
  set(item: Item, key: Key): void {
    const position = this.positions.get(item);
    const entry = position === undefined ? undefined : this.entries[position];
    if (position !== undefined && entry !== undefined) {
      entry.key = key;
      this.siftDown(this.siftUp(position));
      return;
    }
    this.nextOrder += 1;
    this.entries.push({ item, key, order: this.nextOrder });
    this.positions.set(item, this.entries.length - 1);
    this.siftUp(this.entries.length - 1);
  }

  /** Removes an item and returns whether it was there. */
  delete(item: Item): boolean {
    const position = this.positions.get(item);
    if (position === undefined) {
      return false;
    }
    const last = this.entries.pop();
    this.positions.delete(item);
    if (last !== undefined && last.item !== item) {
      this.putAt(last, position);
      this.siftDown(this.siftUp(position));
    }
    return true;
  }

  private precedes(one: Entry<Item, Key>, other: Entry<Item, Key>): boolean {
    if (this.isBefore(one.key, other.key)) {
      return true;
    }
    return !this.isBefore(other.key, one.key) && one.order < other.order;
  }

  private putAt(entry: Entry<Item, Key>, position: number): void {
    this.entries[position] = entry;
    this.positions.set(entry.item, position);
  }

  private siftUp(from: number): number {
    const entry = this.entries[from];
    let position = from;
    while (entry !== undefined && position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = this.entries[parentPosition];
      if (parent === undefined || !this.precedes(entry, parent)) {
        break;
      }
      this.putAt(parent, position);
      this.putAt(entry, parentPosition);
      position = parentPosition;
    }
    return position;
  }

  private siftDown(from: number): void {
    const entry = this.entries[from];
    let position = from;
    while (entry !== undefined) {
      const childPosition = this.firstChildOf(position);
      const child = this.entries[childPosition];
      if (child === undefined || !this.precedes(child, entry)) {
        return;
      }
      this.putAt(child, position);
      this.putAt(entry, childPosition);
      position = childPosition;
    }
  }

  private firstChildOf(position: number): number {
    const left = 2 * position + 1;
    const one = this.entries[left];
    const other = this.entries[left + 1];
    return one !== undefined && other !== undefined && this.precedes(other, one) ? left + 1 : left;
  }
}
