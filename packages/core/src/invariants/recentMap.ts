/**
 * A map that forgets what was set long ago. Two generations take turns: taking the oldest key
 * out of one large map costs a scan over all keys that were taken out before it.
 */
export class RecentMap<Key, Value> {
  private current = new Map<Key, Value>();
  private previous = new Map<Key, Value>();

  /** @param generationSize - Keys after which a generation ends; up to twice as many are held. */
  constructor(private readonly generationSize: number) {}

  /** @returns The value set for the key lately, or undefined. */
  get(key: Key): Value | undefined {
    return this.current.get(key) ?? this.previous.get(key);
  }

  /** @returns Whether the key was set lately. */
  has(key: Key): boolean {
    return this.current.has(key) || this.previous.has(key);
  }

  /**
   * @param key - The key.
   * @param value - Its value from now on.
   */
  set(key: Key, value: Value): void {
    if (this.current.size >= this.generationSize) {
      this.previous = this.current;
      this.current = new Map();
    }
    this.current.set(key, value);
  }
}
