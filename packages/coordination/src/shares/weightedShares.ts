import type { ShareStanding, ShareTerms } from "./types.js";

interface ShareAccount {
  weight: number;
  /** Units in use, and the number of holders among which they are divided. */
  use: number;
  holders: number;
  /** The part of both from before the contention; the oldest holder is taken to release first. */
  earlierUse: number;
  earlierHolders: number;
  /** Service received in contention, in unit milliseconds by weight. */
  virtualTimeMs: number;
  /** Until when the service is counted in `virtualTimeMs`. */
  settledAtMs: number;
  servedUnitMs: number;
  /** Whether it waits for more. */
  isWaiting: boolean;
}

const sumOf = <Value>(values: readonly Value[], of: (value: Value) => number): number =>
  values.reduce((sum, value) => sum + of(value), 0);

/**
 * Weighted fair shares of one contended resource. Each account has a virtual time, which advances by
 * the service that it receives divided by its weight, and only while the resource is contended. The
 * account with the lowest position is served next.
 *
 * An account that begins to wait starts at the virtual time of those that wait, so that it has no
 * credit for the time in which it wanted nothing. Units that were granted without contention are not
 * charged for, and an account never falls behind or gets ahead by more than `maxLagMs` of its fair
 * share.
 */
export class WeightedShares<Account> {
  private readonly accounts = new Map<Account, ShareAccount>();
  /** Weighted mean of the virtual times of the accounts that wait. */
  private virtualTimeMs = 0;
  private contendedUntilMs = -Infinity;
  private totalUse = 0;
  /** Most units in use at once since the contention began. */
  private mostUse = 0;

  constructor(private readonly terms: ShareTerms) {}

  /** Number of accounts that use units, wait for some, or are ahead of those that wait. */
  get size(): number {
    return this.accounts.size;
  }

  /** Adds units that an account begins to use. */
  grant(account: Account, weight: number, units: number, atMs: number): void {
    const entry = this.settledAccount(account, weight, atMs);
    entry.use += units;
    entry.holders += 1;
    this.totalUse += units;
    this.mostUse = Math.max(this.mostUse, this.totalUse);
  }

  /** Removes units that an account no longer uses. */
  release(account: Account, weight: number, units: number, atMs: number): void {
    const entry = this.settledAccount(account, weight, atMs);
    entry.holders -= 1;
    entry.earlierHolders = Math.max(0, entry.earlierHolders - 1);
    // Sums of fractions don't return to exactly 0.
    entry.use = entry.holders === 0 ? 0 : entry.use - units;
    entry.earlierUse = entry.earlierHolders === 0 ? 0 : Math.max(0, entry.earlierUse - units);
    this.totalUse = Math.max(0, this.totalUse - units);
  }

  /**
   * Reports that the resource is contended. All accounts start equal where it wasn't before.
   *
   * @param untilMs - Until when it counts as contended unless this is called again.
   */
  contend(atMs: number, untilMs: number): void {
    if (!this.isContended(atMs)) {
      this.beginContention(atMs);
    }
    this.contendedUntilMs = Math.max(this.contendedUntilMs, untilMs);
  }

  isContended(atMs: number): boolean {
    return atMs <= this.contendedUntilMs;
  }

  /**
   * Updates which accounts wait for more of the resource.
   *
   * @param waiting - Their weights, above 0.
   */
  update(atMs: number, waiting: ReadonlyMap<Account, number>): void {
    const entries = [...waiting].map(([account, weight]) =>
      this.settledAccount(account, weight, atMs),
    );
    this.settleAll(atMs);
    this.advanceVirtualTime(entries);
    for (const [account, entry] of this.accounts) {
      if (!waiting.has(account)) {
        entry.isWaiting = false;
        this.forgetIfIdle(account, entry);
      }
    }
    const totalWeight = sumOf(entries, ({ weight }) => weight);
    const maxLagMs = (this.mostUse / totalWeight) * this.terms.maxLagMs;
    for (const entry of entries) {
      this.limitLag(entry, maxLagMs);
      entry.isWaiting = true;
    }
  }

  /**
   * Returns an account's position; the lowest is served first. It is the virtual time that the
   * account reaches if its present use goes on, so that use which has just begun counts as well.
   */
  positionOf(account: Account): number {
    const entry = this.accounts.get(account);
    return entry === undefined
      ? this.virtualTimeMs
      : entry.virtualTimeMs + (entry.use / entry.weight) * this.terms.lookAheadMs;
  }

  /** Whether an account uses any units. */
  isUsing(account: Account): boolean {
    return (this.accounts.get(account)?.holders ?? 0) > 0;
  }

  /** Returns how the accounts that wait stand. */
  standings(atMs: number): ShareStanding<Account>[] {
    this.settleAll(atMs);
    const waiting = [...this.accounts].filter(([, { isWaiting }]) => isWaiting);
    const totalUse = sumOf(waiting, ([, { use }]) => use);
    const totalWeight = sumOf(waiting, ([, { weight }]) => weight);
    return waiting.map(([account, { weight, use, servedUnitMs }]) => ({
      account,
      weight,
      use,
      fairUse: (totalUse * weight) / totalWeight,
      servedUnitMs,
    }));
  }

  /** Sets the counts of service received to 0. */
  resetServed(): void {
    this.accounts.forEach((entry) => {
      entry.servedUnitMs = 0;
    });
  }

  private beginContention(atMs: number): void {
    this.settleAll(atMs);
    this.virtualTimeMs = 0;
    this.mostUse = this.totalUse;
    this.accounts.forEach((entry) => {
      entry.virtualTimeMs = 0;
      entry.isWaiting = false;
      entry.earlierUse = entry.use;
      entry.earlierHolders = entry.holders;
    });
  }

  /** Advances the virtual time to the mean of those that go on waiting, or the least of new ones. */
  private advanceVirtualTime(waiting: readonly ShareAccount[]): void {
    const continuing = waiting.filter(({ isWaiting }) => isWaiting);
    const totalWeight = sumOf(continuing, ({ weight }) => weight);
    if (totalWeight > 0) {
      this.virtualTimeMs =
        sumOf(continuing, ({ weight, virtualTimeMs }) => weight * virtualTimeMs) / totalWeight;
    } else if (waiting.length > 0) {
      const leastMs = Math.min(...waiting.map(({ virtualTimeMs }) => virtualTimeMs));
      this.virtualTimeMs = Math.max(this.virtualTimeMs, leastMs);
    }
  }

  /**
   * Limits how far a waiting account is ahead or behind. It is not behind if it begins to wait or
   * uses units that it isn't charged for.
   */
  private limitLag(entry: ShareAccount, maxLagMs: number): void {
    const mayBeBehind = entry.isWaiting && entry.earlierHolders === 0;
    const leastMs = mayBeBehind ? this.virtualTimeMs - maxLagMs : this.virtualTimeMs;
    const mostMs = this.virtualTimeMs + maxLagMs;
    entry.virtualTimeMs = Math.min(mostMs, Math.max(leastMs, entry.virtualTimeMs));
  }

  private settledAccount(account: Account, weight: number, atMs: number): ShareAccount {
    let entry = this.accounts.get(account);
    if (entry === undefined) {
      entry = {
        weight,
        use: 0,
        holders: 0,
        earlierUse: 0,
        earlierHolders: 0,
        virtualTimeMs: this.virtualTimeMs,
        settledAtMs: atMs,
        servedUnitMs: 0,
        isWaiting: false,
      };
      this.accounts.set(account, entry);
    }
    this.settle(entry, atMs);
    entry.weight = weight;
    return entry;
  }

  private settleAll(atMs: number): void {
    this.accounts.forEach((entry) => {
      this.settle(entry, atMs);
    });
  }

  /** Counts the service that an account has received in contention until now. */
  private settle(entry: ShareAccount, atMs: number): void {
    const untilMs = Math.min(atMs, this.contendedUntilMs);
    const spanMs = Math.max(0, untilMs - entry.settledAtMs);
    entry.settledAtMs = Math.max(entry.settledAtMs, atMs);
    entry.servedUnitMs += entry.use * spanMs;
    entry.virtualTimeMs += ((entry.use - entry.earlierUse) / entry.weight) * spanMs;
  }

  /** Removes an account that is like a new one, so that their number stays bounded. */
  private forgetIfIdle(account: Account, { holders, virtualTimeMs }: ShareAccount): void {
    if (holders === 0 && virtualTimeMs <= this.virtualTimeMs) {
      this.accounts.delete(account);
    }
  }
}
