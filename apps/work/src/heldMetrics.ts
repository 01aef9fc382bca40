import type { State } from "@heatherferry/core";
import { registerGauge } from "@heatherferry/runners";
import type { Registry } from "prom-client";

/**
 * Registers metrics of the memory that submissions take on the owner.
 *
 * @param registry - Registry to add the metrics to.
 * @param state - State of the node.
 */
export const registerHeldMetrics = (registry: Registry, state: State): void => {
  registerGauge(
    registry,
    "heatherferry_held_submission_bytes",
    "Estimated memory of the submissions that this node holds; 0 unless it is the owner",
    () => state.work?.owned?.held.bytes ?? 0,
  );
  registerGauge(
    registry,
    "heatherferry_held_submission_budget_bytes",
    "Memory beyond which this node as the owner has all further submissions refused",
    () => state.work?.heldBudgetBytes ?? 0,
  );
};
