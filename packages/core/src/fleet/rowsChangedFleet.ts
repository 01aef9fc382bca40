import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import type { FleetState } from "./types.js";

export const initialFleet = (): FleetState => ({
  hosts: new Map(),
  listed: new Map(),
  listedAtMs: null,
  leases: new Map(),
  nextStepAtMs: 0,
  listInFlight: false,
  ordersInFlight: new Set(),
});

/**
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 */
export const rowsChangedFleet = (state: State, rows: readonly TableRow[]): void => {
  for (const { body } of rows) {
    if (body.type === "host") {
      state.fleet.hosts.set(body.hostId, body);
    }
  }
};
