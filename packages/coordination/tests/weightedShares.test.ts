import test from "ava";
import fc from "fast-check";
import { WeightedShares } from "../src/index.js";

const TERMS = { lookAheadMs: 1_000, maxLagMs: 2_000 };
const STEP_MS = 10;

interface Demand {
  readonly weight: number;
  /** Units that one job uses, and for how long. */
  readonly units: number;
  readonly jobMs: number;
}

/** A resource of a number of units that serves jobs in the order of the shares. */
class Contention {
  readonly shares = new WeightedShares<number>(TERMS);
  readonly servedUnitMs = new Map<number, number>();
  readonly waiting = new Set<number>();
  nowMs = 0;
  private jobs: { readonly account: number; readonly endsAtMs: number }[] = [];

  constructor(
    private readonly demands: readonly Demand[],
    private readonly totalUnits: number,
  ) {}

  run(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.nowMs < untilMs) {
      this.step();
    }
  }

  /** Returns the part of the service since the last call that an account has received. */
  takeParts(): number[] {
    const served = this.demands.map((_, account) => this.servedUnitMs.get(account) ?? 0);
    this.servedUnitMs.clear();
    const total = served.reduce((sum, one) => sum + one, 0);
    return served.map((one) => one / total);
  }

  private demandOf(account: number): Demand {
    return this.demands[account] ?? { weight: 1, units: 1, jobMs: 1 };
  }

  private step(): void {
    this.nowMs += STEP_MS;
    for (const { account } of this.jobs) {
      const served = this.servedUnitMs.get(account) ?? 0;
      this.servedUnitMs.set(account, served + this.demandOf(account).units * STEP_MS);
    }
    for (const { account } of this.jobs.filter(({ endsAtMs }) => endsAtMs <= this.nowMs)) {
      const { weight, units } = this.demandOf(account);
      this.shares.release(account, weight, units, this.nowMs);
    }
    this.jobs = this.jobs.filter(({ endsAtMs }) => endsAtMs > this.nowMs);
    this.shares.contend(this.nowMs, this.nowMs + 100);
    this.shares.update(
      this.nowMs,
      new Map([...this.waiting].map((account) => [account, this.demandOf(account).weight])),
    );
    this.fill();
  }

  private fill(): void {
    let free =
      this.totalUnits -
      this.jobs.reduce((sum, { account }) => sum + this.demandOf(account).units, 0);
    for (;;) {
      const [next] = [...this.waiting]
        .filter((account) => this.demandOf(account).units <= free)
        .sort((one, other) => this.shares.positionOf(one) - this.shares.positionOf(other));
      if (next === undefined) {
        return;
      }
      const { weight, units, jobMs } = this.demandOf(next);
      this.shares.grant(next, weight, units, this.nowMs);
      this.jobs.push({ account: next, endsAtMs: this.nowMs + jobMs });
      free -= units;
    }
  }
}

test("accounts with endless demand get more or less than their weights over 10 s", (t) => {
  const demand = fc.record({
    weight: fc.integer({ min: 1, max: 5 }),
    units: fc.constantFrom(1, 2),
    jobMs: fc.constantFrom(100, 400, 700, 1_100),
  });
  fc.assert(
    fc.property(fc.array(demand, { minLength: 2, maxLength: 6 }), (demands) => {
      const contention = new Contention(demands, 40);
      demands.forEach((_, account) => contention.waiting.add(account));
      contention.run(10_000);
      const totalWeight = demands.reduce((sum, { weight }) => sum + weight, 0);
      contention.takeParts().forEach((part, account) => {
        const due = (demands[account]?.weight ?? 0) / totalWeight;
        t.true(Math.abs(part - due) <= 0.05 * due + 0.01, `${part} of ${due}`);
      });
    }),
    { seed: 3, numRuns: 60 },
  );
});

test("an account entitled to less than one job at a time never runs any", (t) => {
  const demands = [1, 2, 3, 4, 5].map((weight) => ({ weight, units: 1, jobMs: 300 }));
  const contention = new Contention(demands, 5);
  demands.forEach((_, account) => contention.waiting.add(account));
  contention.run(20_000);
  contention.takeParts().forEach((part, account) => {
    const due = (account + 1) / 15;
    t.true(Math.abs(part - due) <= 0.05 * due + 0.01, `${part} of ${due}`);
  });
});

const EQUAL = { weight: 1, units: 1, jobMs: 400 };

test("an account that was served alone gets less than its share afterwards", (t) => {
  const contention = new Contention([EQUAL, EQUAL], 20);
  contention.waiting.add(0);
  contention.run(30_000);
  contention.takeParts();
  contention.waiting.add(1);
  contention.run(2_000);
  const [served = 0] = contention.takeParts();
  t.true(served >= 0.475, `${served} of 0.5`);
});

test("an account that was idle gets more than its share afterwards, or not yet its share", (t) => {
  const contention = new Contention([EQUAL, EQUAL, EQUAL], 30);
  [0, 1, 2].forEach((account) => contention.waiting.add(account));
  contention.run(5_000);
  contention.waiting.delete(2);
  contention.run(30_000);
  contention.takeParts();
  contention.waiting.add(2);
  contention.run(2_000);
  const [, , first = 0] = contention.takeParts();
  t.true(first >= 0.25 && first <= 0.35, `${first} of 0.333 in the first 2 s`);
  contention.run(2_000);
  const [, , later = 0] = contention.takeParts();
  t.true(Math.abs(later - 1 / 3) < 0.02, `${later} of 0.333 afterwards`);
});

test("an account is ahead or behind after jobs from before the contention end", (t) => {
  const shares = new WeightedShares<string>(TERMS);
  const weights = new Map([
    ["old", 1],
    ["new", 1],
  ]);
  shares.grant("old", 1, 9, 0);
  for (let atMs = 0; atMs <= 30_000; atMs += 100) {
    shares.contend(atMs, atMs + 100);
    shares.update(atMs, weights);
    if (atMs === 100) {
      shares.grant("new", 1, 1, atMs);
    }
  }
  shares.release("old", 1, 9, 30_000);
  shares.release("new", 1, 1, 30_000);
  shares.update(30_000, weights);
  const lagMs = Math.abs(shares.positionOf("old") - shares.positionOf("new"));
  // Each is entitled to 5 of the 10 units.
  t.true(lagMs <= 5 * 100, `${lagMs} ms apart`);
});

test("an account that receives nothing for long gets more than its largest lag afterwards", (t) => {
  const shares = new WeightedShares<string>(TERMS);
  const weights = new Map([
    ["served", 1],
    ["unserved", 1],
  ]);
  for (let atMs = 0; atMs <= 30_000; atMs += 100) {
    shares.contend(atMs, atMs + 100);
    shares.update(atMs, weights);
    if (atMs === 0) {
      shares.grant("served", 1, 10, atMs);
    }
  }
  shares.release("served", 1, 10, 30_000);
  shares.update(30_000, weights);
  const lagMs = shares.positionOf("served") - shares.positionOf("unserved");
  t.true(lagMs <= 2 * 5 * TERMS.maxLagMs, `${lagMs} ms behind`);
});

test("accounts that no longer use or want anything are kept for ever", (t) => {
  const shares = new WeightedShares<number>(TERMS);
  shares.grant(-1, 1, 1, 0);
  for (let account = 0; account < 1_000; account += 1) {
    const atMs = account * 10;
    shares.contend(atMs, atMs + 100);
    shares.grant(account, 1, 1, atMs);
    shares.update(atMs + 5, new Map([[account, 1]]));
    shares.release(account, 1, 1, atMs + 5);
    shares.update(atMs + 8, new Map([[-1, 1]]));
  }
  t.true(shares.size < 50, `${shares.size} accounts`);
});
