interface Entry<Item, Key> {
  readonly item: Item;
  key: Key;
  /** Rises with each entry, so that of equal keys the older comes first. */
  readonly order: number;
}

/** Items by key, the first always at hand. Adding, moving and removing cost the logarithm of their number. */
export abstract class KeyedHeap<Item, Key> {
  private readonly entries: Entry<Item, Key>[] = [];
  private readonly places = new Map<Item, number>();
  private nextOrder = 0;

  /** @returns Whether one key comes before the other. */
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

  /** Puts an item in its place by a key; one that is there already moves. */
  set(item: Item, key: Key): void {
    const place = this.places.get(item);
    const entry = place === undefined ? undefined : this.entries[place];
    if (place !== undefined && entry !== undefined) {
      entry.key = key;
      this.sinkFrom(this.riseFrom(place));
      return;
    }
    this.nextOrder += 1;
    this.entries.push({ item, key, order: this.nextOrder });
    this.places.set(item, this.entries.length - 1);
    this.riseFrom(this.entries.length - 1);
  }

  /** @returns Whether the item was there. */
  delete(item: Item): boolean {
    const place = this.places.get(item);
    if (place === undefined) {
      return false;
    }
    const last = this.entries.pop();
    this.places.delete(item);
    if (last !== undefined && last.item !== item) {
      this.put(last, place);
      this.sinkFrom(this.riseFrom(place));
    }
    return true;
  }

  private precedes(one: Entry<Item, Key>, other: Entry<Item, Key>): boolean {
    if (this.isBefore(one.key, other.key)) {
      return true;
    }
    return !this.isBefore(other.key, one.key) && one.order < other.order;
  }

  private put(entry: Entry<Item, Key>, place: number): void {
    this.entries[place] = entry;
    this.places.set(entry.item, place);
  }

  private riseFrom(from: number): number {
    const entry = this.entries[from];
    let place = from;
    while (entry !== undefined && place > 0) {
      const above = (place - 1) >> 1;
      const parent = this.entries[above];
      if (parent === undefined || !this.precedes(entry, parent)) {
        break;
      }
      this.put(parent, place);
      this.put(entry, above);
      place = above;
    }
    return place;
  }

  private sinkFrom(from: number): void {
    const entry = this.entries[from];
    let place = from;
    while (entry !== undefined) {
      const below = this.firstBelow(place);
      const child = this.entries[below];
      if (child === undefined || !this.precedes(child, entry)) {
        return;
      }
      this.put(child, place);
      this.put(entry, below);
      place = below;
    }
  }

  private firstBelow(place: number): number {
    const left = 2 * place + 1;
    const one = this.entries[left];
    const other = this.entries[left + 1];
    return one !== undefined && other !== undefined && this.precedes(other, one) ? left + 1 : left;
  }
}
