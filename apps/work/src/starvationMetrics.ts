import { STARVATION_REASON, type State } from "@heatherferry/core";
import { Gauge, type Registry } from "prom-client";

/**
 * Registers the number of submissions of which nothing runs although a worker has room, by reason.
 * It is read at each collection.
 *
 * @param registry - Registry to add the metric to.
 * @param state - State of the node.
 */
export const registerStarvationMetrics = (registry: Registry, state: State): void => {
  const gauge = new Gauge({
    name: "heatherferry_starved_submissions",
    help: "Submissions of which nothing runs although a worker of their pool has room, by reason",
    labelNames: ["reason"],
    registers: [registry],
    collect: () => {
      Object.values(STARVATION_REASON).forEach((reason) => {
        gauge.set({ reason }, 0);
      });
      for (const { starvation } of state.work?.owned?.idleSubmissions.values() ?? []) {
        if (starvation !== null) {
          gauge.inc({ reason: starvation });
        }
      }
    },
  });
};
