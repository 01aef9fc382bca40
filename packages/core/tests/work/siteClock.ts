import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from "pure-rand";
import { DueHeap } from "./dueHeap.js";
import { WorkerJudge } from "./memoryWorker.js";

/** Virtual clock with scheduled actions and a seeded random generator. */
export abstract class SiteClock extends WorkerJudge {
  nowMs = 0;
  private readonly random: RandomGenerator;
  private readonly due = new DueHeap();
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
      const entry = this.due.popUntil(untilMs);
      if (entry === null) {
        this.nowMs = untilMs;
        return;
      }
      this.nowMs = Math.max(this.nowMs, entry.atMs);
      entry.act();
    }
  }
}
