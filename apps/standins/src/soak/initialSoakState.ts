import { xoroshiro128plus } from "pure-rand";
import { nextFraction } from "../random.js";
import { SOAK, SOAK_PHASE } from "./constants.js";
import type { PlannedFault, SoakPlan, SoakState } from "./types.js";

/** Faults strike in this part of the traffic after the first moments. */
const FAULT_WINDOW_SHARE = 0.9;

/** Draws when each fault of the plan strikes. */
const drawFaults = (state: SoakState): PlannedFault[] => {
  const { faults, trafficMs } = state.plan;
  const spanMs = Math.max(0, trafficMs * FAULT_WINDOW_SHARE - SOAK.FIRST_FAULT_MS);
  const drawn = faults.filter(({ chance }) => nextFraction(state.random) < chance);
  return drawn.flatMap(({ kind, times, atMs: fixedMs, forMs, strength }) =>
    Array.from({ length: times }, () => {
      const drawnMs = SOAK.FIRST_FAULT_MS + nextFraction(state.random) * spanMs;
      const atMs = state.startedAtMs + (fixedMs ?? drawnMs);
      return { kind, atMs, untilMs: atMs + forMs, strength, draw: nextFraction(state.random) };
    }),
  );
};

/**
 * Creates the state of a soak whose traffic begins now.
 *
 * @param seed - Decides what is handed in, and when which fault strikes what.
 * @param startedAtMs - The present time.
 */
export const initialSoakState = (plan: SoakPlan, seed: number, startedAtMs: number): SoakState => {
  const state: SoakState = {
    plan,
    random: xoroshiro128plus(seed),
    startedAtMs,
    phase: SOAK_PHASE.TRAFFIC,
    tickedAtMs: startedAtMs,
    nextId: seed * 1_000_000,
    dueThousandths: [],
    submissions: new Map(),
    workers: new Map(),
    teamCpuMilli: new Map(),
    waitingFaults: [],
    activeFaults: [],
    evacuatedSinceMs: new Map(),
    findings: [],
    unread: new Set(),
    refused: 0,
  };
  state.waitingFaults = drawFaults(state);
  return state;
};
