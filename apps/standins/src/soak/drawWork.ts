import { nextFraction, nextIndex } from "../random.js";
import { FAULT } from "./constants.js";
import type { FaultKind, KindPlan, SoakState, SoakWork, Spread, StepPlan } from "./types.js";

/** Time until a long-running item fails by its own fault. */
const FAIL_AFTER_MS = 4_000;
const ID_DIGITS = 16;

/** Returns the greatest strength of the active faults of a kind; 0 without one. */
export const strengthOf = ({ activeFaults }: SoakState, kind: FaultKind): number =>
  activeFaults.reduce(
    (greatest, fault) => (fault.kind === kind ? Math.max(greatest, fault.strength) : greatest),
    0,
  );

/** Draws a quantity: most draws lie within its spread around the mean. */
const draw = ({ random }: SoakState, { mean, spread, max }: Spread): number => {
  const deviation = nextFraction(random) + nextFraction(random) - 1;
  return Math.min(max, Math.max(mean / 4, mean * (1 + 2 * spread * deviation)));
};

const drawCount = (state: SoakState, spread: Spread): number =>
  Math.max(1, Math.round(draw(state, spread)));

const drawStep = (state: SoakState, kind: KindPlan, step: number): StepPlan => ({
  count: drawCount(state, kind.itemsPerStep),
  needs: {
    cpu: drawCount(state, kind.cpuMilli),
    memMb: drawCount(state, kind.memoryMb),
    gpu: 0,
  },
  after: step === 0 ? [] : [step - 1],
  longRunning: kind.workMs === null,
  maxPerWorker: nextFraction(state.random) < kind.oneByWorkerShare ? 1 : null,
  estimateMs: Math.round(kind.workMs?.mean ?? FAIL_AFTER_MS),
});

/** Draws the work of a submission. */
export const drawWork = (state: SoakState, kind: KindPlan): SoakWork => {
  const hopelessShare = Math.max(kind.hopelessShare, strengthOf(state, FAULT.HOPELESS_WORK));
  const isHopeless = kind.workMs !== null && nextFraction(state.random) < hopelessShare;
  const stepCount = drawCount(state, kind.steps);
  return {
    text: {
      workMs: kind.workMs === null ? null : Math.round(draw(state, kind.workMs)),
      failureShare: isHopeless && kind.allItemsHopeless ? 1 : kind.failureShare,
      hopelessStep: isHopeless ? nextIndex(state.random, stepCount) : null,
      failAfterMs: FAIL_AFTER_MS,
    },
    steps: Array.from({ length: stepCount }, (_, step) => drawStep(state, kind, step)),
  };
};

/** Draws a team by its share; a busy one counts several times. */
export const drawTeam = (state: SoakState): string => {
  const busiest = state.plan.teams[0];
  const factor = Math.max(1, strengthOf(state, FAULT.BUSY_TEAM));
  const shares = state.plan.teams.map((team) => team.share * (team === busiest ? factor : 1));
  let left = nextFraction(state.random) * shares.reduce((sum, share) => sum + share, 0);
  const index = shares.findIndex((share) => {
    left -= share;
    return left < 0;
  });
  return state.plan.teams[Math.max(0, index)]?.name ?? "";
};

/** Returns an id that no other submission of the soak has. */
export const nextSubmissionId = (state: SoakState): string => {
  state.nextId += 1;
  // A multiplication by an odd number spreads consecutive ids over the parts of the store.
  const mixed = (BigInt(state.nextId) * 0x9e3779b97f4a7c15n) & 0xffffffffffffffffn;
  return mixed.toString(ID_DIGITS).padStart(ID_DIGITS, "0");
};
