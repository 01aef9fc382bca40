import { ConsecutiveFailureEjection, type EjectionPolicy } from "./ejectionPolicy.js";
import { RackRoundRobinOrder, type WaveOrder } from "../waves/waveOrder.js";
import { LeastLoadedPlacement, type PlacementPolicy } from "./placementPolicy.js";

/** The behaviours that vary, as one node uses them. */
export interface Policies {
  readonly placement: PlacementPolicy;
  readonly ejection: EjectionPolicy;
  readonly waveOrder: WaveOrder;
}

export const defaultPolicies = (): Policies => ({
  placement: new LeastLoadedPlacement(),
  ejection: new ConsecutiveFailureEjection(),
  waveOrder: new RackRoundRobinOrder(),
});
