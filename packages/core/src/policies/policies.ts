import { ConsecutiveFailureEjection, type EjectionPolicy } from "./ejectionPolicy.js";
import { LeastLoadedPlacement, type PlacementPolicy } from "./placementPolicy.js";

/** The behaviours that vary, as one node uses them. */
export interface Policies {
  readonly placement: PlacementPolicy;
  readonly ejection: EjectionPolicy;
}

export const defaultPolicies = (): Policies => ({
  placement: new LeastLoadedPlacement(),
  ejection: new ConsecutiveFailureEjection(),
});
