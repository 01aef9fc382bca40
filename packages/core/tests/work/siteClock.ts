import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from "pure-rand";
import { WorkerJudge } from "./memoryWorker.js";

/** A virtual clock with seeded luck. */
export abstract class SiteClock extends WorkerJudge {
  nowMs = 0;
  private readonly random: RandomGenerator;
  private readonly due: { atMs: number; order: number; act: () => void }[] = [];
  protected order = 0;

  constructor(seed: number) {
    super();
    this.random = xoroshiro128plus(seed);
  }

  pick(below: number): number {
    return unsafeUniformIntDistribution(0, below - 1, this.random);
  }

  chance(percent: number): boolean {
    return this.pick(100) < percent;
  }

  at(delayMs: number, act: () => void): void {
    this.order += 1;
    this.due.push({ atMs: this.nowMs + delayMs, order: this.order, act });
  }

  run(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    for (;;) {
      let next = -1;
      this.due.forEach((entry, index) => {
        const best = this.due[next];
        const sooner =
          best === undefined ||
          entry.atMs < best.atMs ||
          (entry.atMs === best.atMs && entry.order < best.order);
        next = sooner ? index : next;
      });
      const entry = this.due[next];
      if (entry === undefined || entry.atMs > untilMs) {
        this.nowMs = untilMs;
        return;
      }
      this.due.splice(next, 1);
      this.nowMs = Math.max(this.nowMs, entry.atMs);
      entry.act();
    }
  }
}
