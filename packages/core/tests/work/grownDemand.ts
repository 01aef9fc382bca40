import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { StepSpec, WorkSpec } from "../../src/index.js";
import { stepOf, workOf } from "./workSpecs.js";

/** A kind of submission, and what of it is handed in. */
interface Kind {
  readonly pool: string;
  readonly perSecond: number;
  /** Share of submissions with a second step after the first, in percent. */
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

/** In the order of their turns: 45 a second in all. */
const KINDS: readonly Kind[] = [
  { pool: "mills", perSecond: 18, ...SHORT },
  { pool: "dies", perSecond: 2.3, ...LONG },
  { pool: "deeds", perSecond: 22, ...SHORT },
  { pool: "marks", perSecond: 2.7, ...LONG },
];

/** The kinds rise by turns; this is times their mean. */
const TURN = { MS: 4_500, RISEN: 4, FALLEN: 0.05 } as const;

const SLOT_MS = 20;

const ID_DIGITS = 16;

/** One submission as a caller hands it in. */
export interface Demand {
  readonly atMs: number;
  readonly id: string;
  readonly pool: string;
  readonly work: WorkSpec;
}

/** How much is handed in: times the stated load, from one time to another. */
export interface Load {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly times: number;
}

const turnOf = (kind: number, atMs: number): number =>
  Math.floor(atMs / TURN.MS) % KINDS.length === kind ? TURN.RISEN : TURN.FALLEN;

const workOfKind = (kind: Kind, twoSteps: boolean): WorkSpec => {
  const step = (after: readonly number[]): StepSpec => ({
    ...stepOf(kind.items, kind.cpuMilli, after),
    needs: { cpuMilli: kind.cpuMilli, memoryMb: kind.memoryMb, gpus: 0 },
    estimateMs: kind.estimateMs,
  });
  return workOf(twoSteps ? [step([]), step([0])] : [step([])]);
};

/** @returns What callers hand in, the same for the same seed whatever else happens. */
export const demandOf = (seed: number, loads: readonly Load[]): readonly Demand[] => {
  const random = xoroshiro128plus(seed);
  const below = (bound: number): number => unsafeUniformIntDistribution(0, bound - 1, random);
  const demand: Demand[] = [];
  const add = (kind: Kind, atMs: number): void => {
    const id = demand.length.toString(16).padStart(ID_DIGITS, "0");
    const work = workOfKind(kind, below(100) < kind.secondStepPercent);
    demand.push({ atMs, id, pool: kind.pool, work });
  };
  for (const { fromMs, untilMs, times } of loads) {
    for (let slotMs = fromMs; slotMs < untilMs; slotMs += SLOT_MS) {
      KINDS.forEach((kind, number) => {
        const expected = (times * kind.perSecond * turnOf(number, slotMs) * SLOT_MS) / 1_000;
        const count = Math.floor(expected) + (below(1e6) < (expected % 1) * 1e6 ? 1 : 0);
        for (let one = 0; one < count; one += 1) {
          add(kind, slotMs + below(SLOT_MS));
        }
      });
    }
  }
  return demand;
};
