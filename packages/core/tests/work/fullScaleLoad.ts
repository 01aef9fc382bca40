import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { StepSpec, WorkSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";

/** A class of submissions and its rate. */
interface WorkClass {
  readonly pool: string;
  readonly perSecond: number;
  /** Percentage of submissions with a second step after the first. */
  readonly secondStepPercent: number;
  readonly items: number;
  readonly cpuMilli: number;
  readonly memoryMb: number;
  readonly estimateMs: number;
}

const SHORT = {
  secondStepPercent: 60,
  items: 8,
  cpuMilli: 3_100,
  memoryMb: 5_700,
  estimateMs: 640,
} as const;

const LONG = {
  secondStepPercent: 100,
  items: 8,
  cpuMilli: 6_700,
  memoryMb: 9_600,
  estimateMs: 2_100,
} as const;

/** In the order in which they peak; 45 submissions per second in all. */
const CLASSES: readonly WorkClass[] = [
  { pool: "mills", perSecond: 18, ...SHORT },
  { pool: "dies", perSecond: 2.3, ...LONG },
  { pool: "deeds", perSecond: 22, ...SHORT },
  { pool: "marks", perSecond: 2.7, ...LONG },
];

/** The classes peak one after another; the factors apply to their mean rate. */
const PEAK = { MS: 4_500, HIGH_FACTOR: 4, LOW_FACTOR: 0.05 } as const;

const SLOT_MS = 20;

const ID_DIGITS = 16;

/** One submission of a caller. */
export interface PlannedSubmission {
  readonly atMs: number;
  readonly id: string;
  readonly pool: string;
  readonly work: WorkSpec;
}

/** A period and its load, as a multiple of the stated load. */
export interface Load {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly times: number;
}

const peakFactor = (workClass: number, atMs: number): number =>
  Math.floor(atMs / PEAK.MS) % CLASSES.length === workClass ? PEAK.HIGH_FACTOR : PEAK.LOW_FACTOR;

const workOfClass = (workClass: WorkClass, twoSteps: boolean): WorkSpec => {
  const step = (after: readonly number[]): StepSpec => ({
    ...stepOf(workClass.items, workClass.cpuMilli, after),
    needs: { cpuMilli: workClass.cpuMilli, memoryMb: workClass.memoryMb, gpus: 0 },
    estimateMs: workClass.estimateMs,
  });
  return workOf(twoSteps ? [step([]), step([0])] : [step([])]);
};

/** Returns the submissions of a load, which depend on the seed alone. */
export const generateSubmissions = (
  seed: number,
  loads: readonly Load[],
): readonly PlannedSubmission[] => {
  const random = xoroshiro128plus(seed);
  const below = (bound: number): number => unsafeUniformIntDistribution(0, bound - 1, random);
  const demand: PlannedSubmission[] = [];
  const add = (workClass: WorkClass, atMs: number): void => {
    const id = demand.length.toString(16).padStart(ID_DIGITS, "0");
    const work = workOfClass(workClass, below(100) < workClass.secondStepPercent);
    demand.push({ atMs, id, pool: workClass.pool, work });
  };
  for (const { fromMs, untilMs, times } of loads) {
    for (let slotMs = fromMs; slotMs < untilMs; slotMs += SLOT_MS) {
      CLASSES.forEach((workClass, number) => {
        const expected =
          (times * workClass.perSecond * peakFactor(number, slotMs) * SLOT_MS) / 1_000;
        const count = Math.floor(expected) + (below(1e6) < (expected % 1) * 1e6 ? 1 : 0);
        for (let added = 0; added < count; added += 1) {
          add(workClass, slotMs + below(SLOT_MS));
        }
      });
    }
  }
  return demand;
};
