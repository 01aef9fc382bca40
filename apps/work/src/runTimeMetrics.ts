import type { KindSummary, State } from "@heatherferry/core";
import { Gauge, type Registry } from "prom-client";

const summaryOf = ({ work, nowMs }: State): readonly KindSummary[] =>
  work?.owned?.runTimes.summary(nowMs) ?? [];

/**
 * Registers what the owner has learned of run times, by level of kinds: the single step of a
 * submission, the image, step and team within a queue, and the queue. It is read at each collection.
 *
 * @param registry - Registry to add the metrics to.
 * @param state - State of the node.
 */
export const registerRunTimeMetrics = (registry: Registry, state: State): void => {
  const registers = [registry];
  const kinds = new Gauge({
    name: "heatherferry_run_time_kinds",
    help: "Kinds of runs whose run times the owner knows, by level and by what it expects",
    labelNames: ["level", "expects"],
    registers,
    collect: () => {
      kinds.reset();
      for (const { level, used } of summaryOf(state)) {
        kinds.inc({ level, expects: used ? "learned" : "estimate" });
      }
    },
  });
  const errors = new Gauge({
    name: "heatherferry_run_time_error_factor",
    help: "Mean factor by which run times were missed on a level, by the estimates and as learned",
    labelNames: ["level", "by"],
    registers,
    collect: () => {
      errors.reset();
      for (const [level, { count, estimate, learned }] of errorSums(summaryOf(state))) {
        errors.set({ level, by: "estimate" }, Math.exp(estimate / count));
        errors.set({ level, by: "learned" }, Math.exp(learned / count));
      }
    },
  });
};

interface ErrorSums {
  count: number;
  /** Sums of logarithms of factors. */
  estimate: number;
  learned: number;
}

const errorSums = (summary: readonly KindSummary[]): ReadonlyMap<string, ErrorSums> => {
  const byLevel = new Map<string, ErrorSums>();
  for (const { level, estimateErrorFactor, learnedErrorFactor } of summary) {
    const sums = byLevel.get(level) ?? { count: 0, estimate: 0, learned: 0 };
    sums.count += 1;
    sums.estimate += Math.log(estimateErrorFactor);
    sums.learned += Math.log(learnedErrorFactor);
    byLevel.set(level, sums);
  }
  return byLevel;
};
