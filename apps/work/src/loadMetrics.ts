import { registerGauge, type LoopLoad } from "@heatherferry/runners";
import { Counter, type Registry } from "prom-client";
import type { LoopLoadReporter } from "./loopLoadReporter.js";
import type { ProcessorTime } from "./processorTime.js";

const MS_PER_S = 1_000;

/**
 * Registers metrics of the load on the event loop. Their values are read at each collection.
 *
 * @param registry - Registry to add the metrics to.
 * @param load - Time that each event type took.
 * @param reporter - Provides the age of the oldest event.
 * @param processor - Reports the processor time that the process has used.
 */
export const registerLoadMetrics = (
  registry: Registry,
  load: LoopLoad,
  reporter: LoopLoadReporter,
  processor: ProcessorTime,
): void => {
  const registers = [registry];
  const events = new Counter({
    name: "heatherferry_events_total",
    help: "Events handled, by type",
    labelNames: ["type"],
    registers,
    collect: () => {
      events.reset();
      for (const [type, kind] of load.loadByType) {
        events.inc({ type }, kind.events);
      }
    },
  });
  const busy = new Counter({
    name: "heatherferry_event_busy_seconds_total",
    help: "Time spent on events, by type: deciding, and beginning what was decided",
    labelNames: ["type", "part"],
    registers,
    collect: () => {
      busy.reset();
      for (const [type, { reduceMs, effectsMs }] of load.loadByType) {
        busy.inc({ type, part: "reduce" }, reduceMs / MS_PER_S);
        busy.inc({ type, part: "effects" }, effectsMs / MS_PER_S);
      }
    },
  });
  const used = new Counter({
    name: "heatherferry_processor_seconds_total",
    help: "Processor time that the process has used",
    registers,
    collect: () => {
      used.reset();
      used.inc(processor.usedMs() / MS_PER_S);
    },
  });
  registerGauge(
    registry,
    "heatherferry_oldest_event_seconds",
    "Age of the oldest event that was handled in the last second",
    () => reporter.oldestEventAgeMs / MS_PER_S,
  );
};
