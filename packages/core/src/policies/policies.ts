import { ConsecutiveFailureEjection, type EjectionPolicy } from "./ejectionPolicy.js";
import { RackRoundRobinOrder, type WaveOrder } from "../waves/waveOrder.js";
import { LeastLoadedPlacement, type PlacementPolicy } from "./placementPolicy.js";

/** The policies that a node uses. */
export interface Policies {
  readonly placement: PlacementPolicy;
  readonly ejection: EjectionPolicy;
  readonly waveOrder: WaveOrder;
}

/** Returns the policies that nodes use by default. */
export const defaultPolicies = (): Policies => ({
  placement: new LeastLoadedPlacement(),
  ejection: new ConsecutiveFailureEjection(),
  waveOrder: new RackRoundRobinOrder(),
});
