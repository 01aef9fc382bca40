import type { DrainAcknowledgement } from "../membership/types.js";
import type { State } from "../state.js";
import { HOST_PHASE } from "./constants.js";

/**
 * @param state - The state to read.
 * @returns The drains for which this entry host has nothing in flight.
 */
export const drainAcknowledgements = (state: State): readonly DrainAcknowledgement[] => {
  const acknowledgements: DrainAcknowledgement[] = [];
  for (const { hostId, phase, drainEpoch } of state.fleet.hosts.values()) {
    const running = state.routing.targets.get(hostId)?.running ?? 0;
    if (phase !== HOST_PHASE.IN_SERVICE && running === 0) {
      acknowledgements.push({ hostId, drainEpoch });
    }
  }
  return acknowledgements;
};
