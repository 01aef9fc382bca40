import { FAULT, FINDING, SOAK } from "./constants.js";
import { addFinding } from "./runRecords.js";
import type { FaultKind, PlannedFault, SoakPlan, SoakState, WorkerRecord } from "./types.js";

/** Returns the zone that a fault evacuates. */
export const evacuatedZone = ({ zones }: SoakPlan, { draw }: PlannedFault): string =>
  zones[Math.floor(draw * zones.length)] ?? "";

/** Notes that a request is written; a second one for the zone leaves the first in force. */
export const noteEvacuation = (state: SoakState, fault: PlannedFault, atMs: number): void => {
  const zone = evacuatedZone(state.plan, fault);
  state.evacuatedSinceMs.set(zone, state.evacuatedSinceMs.get(zone) ?? atMs);
};

/** Notes that a request is removed. */
export const noteReturn = (state: SoakState, fault: PlannedFault): void => {
  state.evacuatedSinceMs.delete(evacuatedZone(state.plan, fault));
};

/** Faults after which workers carry out orders late, for which the rule makes an exception. */
const LATE_ORDER_FAULTS: readonly FaultKind[] = [FAULT.LATE_ORDERS, FAULT.RESTART_AND_CUT];

/** Adds a finding for a start in a zone whose evacuation was requested too long ago. */
export const checkEvacuation = (
  state: SoakState,
  { identity }: WorkerRecord,
  item: string,
  atMs: number,
): void => {
  const sinceMs = atMs - (state.evacuatedSinceMs.get(identity.zone) ?? atMs);
  const ordersAreLate = state.plan.faults.some(({ kind }) => LATE_ORDER_FAULTS.includes(kind));
  if (sinceMs > SOAK.EVACUATION_MS && !ordersAreLate) {
    addFinding(
      state,
      FINDING.EVACUATED,
      atMs,
      item,
      `started on ${identity.id}, ${Math.round(sinceMs)} ms after ${identity.zone} was to be emptied`,
    );
  }
};
