/**
 * A bounded map that discards its oldest entries. It keeps two generations and drops the older one
 * as a whole, because finding the oldest key of one large map would mean scanning past all keys
 * deleted before it.
 */
export class RecentMap<Key, Value> {
  private current = new Map<Key, Value>();
  private previous = new Map<Key, Value>();

  /** @param generationSize - Keys per generation; the map holds up to twice as many. */
  constructor(private readonly generationSize: number) {}

  /** @returns The value of the key, or undefined if it was never set or has been discarded. */
  get(key: Key): Value | undefined {
    return this.current.get(key) ?? this.previous.get(key);
  }

  /** @returns Whether the key was set and has not been discarded. */
  has(key: Key): boolean {
    return this.current.has(key) || this.previous.has(key);
  }

  /** Sets the value of a key, and starts a new generation if the current one is full. */
  set(key: Key, value: Value): void {
    if (this.current.size >= this.generationSize) {
      this.previous = this.current;
      this.current = new Map();
    }
    this.current.set(key, value);
  }
}
