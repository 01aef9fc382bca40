import type { DrainAcknowledgement } from "../membership/types.js";
import type { State } from "../state.js";
import { HOST_PHASE } from "./constants.js";

/**
 * Returns the drains for which this entry host has no requests in flight.
 *
 * @param state - The state to read.
 * @returns One acknowledgement for each draining or stopped host without work of this node.
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
