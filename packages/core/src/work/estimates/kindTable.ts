import { KindHistory } from "./kindHistory.js";
import type { KindLimits } from "./kindLimits.js";

/** The kinds of one level, of which those without an end for longest make room for others. */
export class KindTable {
  /** Those without an end for longest come first. */
  private readonly kinds = new Map<string, KindHistory>();

  constructor(
    readonly limits: KindLimits,
    private readonly maxKinds: number,
  ) {}

  get size(): number {
    return this.kinds.size;
  }

  get(key: string): KindHistory | undefined {
    return this.kinds.get(key);
  }

  /** Returns a kind, which counts as the one with the newest end from now on. */
  touch(key: string): KindHistory {
    const history = this.kinds.get(key) ?? new KindHistory(this.limits);
    this.put(key, history);
    return history;
  }

  /** Adds or replaces a kind as the one with the newest end. */
  put(key: string, history: KindHistory): void {
    this.kinds.delete(key);
    this.kinds.set(key, history);
    for (const oldest of this.kinds.keys()) {
      if (this.kinds.size <= this.maxKinds) {
        return;
      }
      this.kinds.delete(oldest);
    }
  }

  /** Returns the kinds, the one with the newest end first. */
  newestFirst(): readonly (readonly [string, KindHistory])[] {
    return [...this.kinds].reverse();
  }
}
