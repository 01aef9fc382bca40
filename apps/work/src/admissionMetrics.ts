import type { State } from "@heatherferry/core";
import { registerGauge } from "@heatherferry/runners";
import { Counter, Gauge, type Registry } from "prom-client";

const MS_PER_S = 1_000;

/**
 * Registers metrics of admission control: refused calls, and the lines that the owner publishes.
 * They are read at each collection.
 *
 * @param registry - Registry to add the metrics to.
 * @param state - State of the node.
 */
export const registerAdmissionMetrics = (registry: Registry, state: State): void => {
  const registers = [registry];
  const refusals = new Counter({
    name: "heatherferry_refused_calls_total",
    help: "Calls that this node refused although they may be repeated, by reason",
    labelNames: ["reason"],
    registers,
    collect: () => {
      refusals.reset();
      const byReason = state.work?.admission.refusals.byReason;
      for (const [reason, count] of Object.entries(byReason ?? {})) {
        refusals.inc({ reason }, count);
      }
    },
  });
  const waits = new Gauge({
    name: "heatherferry_over_rate_wait_seconds",
    help: "Wait behind the longest line of a team beyond its rate, by pool; on the owner",
    labelNames: ["pool"],
    registers,
    collect: () => {
      waits.reset();
      const { owned, admission } = state.work ?? {};
      const figures = owned == null ? null : (admission?.owner?.figures ?? null);
      for (const [pool, resources] of Object.entries(figures?.pools ?? {})) {
        const waitsMs = Object.values(resources).flatMap(({ lines }) =>
          lines.flatMap((line) => line.waitsMs),
        );
        waits.set({ pool }, Math.max(0, ...waitsMs) / MS_PER_S);
      }
    },
  });
  registerGauge(
    registry,
    "heatherferry_teams_beyond_rate",
    "Teams that submit faster than they are entitled to while a line is long; on the owner",
    () => {
      const { owned, admission } = state.work ?? {};
      return owned == null ? 0 : Object.keys(admission?.owner?.figures?.offeredPerS ?? {}).length;
    },
  );
};
