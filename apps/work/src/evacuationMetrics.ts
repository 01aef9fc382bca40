import { EVACUATION_STATE, type EvacuationReport, type State } from "@heatherferry/core";
import { registerGauge } from "@heatherferry/runners";
import { Gauge, type Registry } from "prom-client";

/** Runs by what they wait for, as the label `waits` names it. */
const RUNS_BY_WAIT = {
  batch: ({ batchRuns }) => batchRuns,
  moving: ({ movingRuns }) => movingRuns,
  maxUnavailable: ({ heldRuns }) => heldRuns,
  room: ({ unplacedRuns }) => unplacedRuns,
} as const satisfies Record<string, (report: EvacuationReport) => number>;

/**
 * Registers metrics of the zones that are being evacuated. They are read at each collection.
 *
 * @param registry - Registry to add the metrics to.
 * @param state - State of the node.
 */
export const registerEvacuationMetrics = (registry: Registry, state: State): void => {
  registerGauge(
    registry,
    "heatherferry_evacuated_zones",
    "Availability zones whose evacuation is requested",
    () => state.work?.evacuations.requests.size ?? 0,
  );
  const runs = new Gauge({
    name: "heatherferry_evacuation_runs",
    help: "Runs left in zones that are being evacuated, by zone and by what they wait for",
    labelNames: ["zone", "waits"],
    registers: [registry],
    collect: () => {
      runs.reset();
      for (const { report } of state.work?.owned?.evacuationRecords.values() ?? []) {
        if (report.state !== EVACUATION_STATE.ENDED) {
          for (const [waits, countRuns] of Object.entries(RUNS_BY_WAIT)) {
            runs.set({ zone: report.zone, waits }, countRuns(report));
          }
        }
      }
    },
  });
};
