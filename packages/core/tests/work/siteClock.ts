import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from "pure-rand";
import { TimerHeap } from "./timerHeap.js";
import { WorkerInvariants } from "./memoryWorker.js";

/** Virtual clock with scheduled actions and a seeded random generator. */
export abstract class SiteClock extends WorkerInvariants {
  nowMs = 0;
  private readonly random: RandomGenerator;
  private readonly due = new TimerHeap();
  protected sequence = 0;

  constructor(seed: number) {
    super();
    this.random = xoroshiro128plus(seed);
  }

  randomBelow(below: number): number {
    return unsafeUniformIntDistribution(0, below - 1, this.random);
  }

  randomChance(percent: number): boolean {
    return this.randomBelow(100) < percent;
  }

  schedule(delayMs: number, act: () => void): void {
    this.sequence += 1;
    this.due.push({ atMs: this.nowMs + delayMs, order: this.sequence, run: act });
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
      entry.run();
    }
  }
}
