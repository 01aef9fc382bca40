import type { Effect, Event, State } from "@heatherferry/core";
import { collectDefaultMetrics, Counter, Gauge, Registry } from "prom-client";
import { EventObserver } from "../loop/eventLoop.js";
import { registerGauge } from "./registerGauge.js";

/** Sampling interval of event loop lag; a shorter one wakes the process more than its work does. */
const EVENT_LOOP_SAMPLE_MS = 500;

/** Counts events and effects of a node; gauges read the state when metrics are collected. */
export class NodeMetrics extends EventObserver {
  readonly registry = new Registry();
  private readonly events: Counter<"type">;
  private readonly effects: Counter<"type">;

  /** @param state - The node's state, read when metrics are collected. */
  constructor(state: State) {
    super();
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
    });
    this.events = this.counter("heatherferry_events_total", "Events handed to the reducer");
    this.effects = this.counter("heatherferry_effects_total", "Effects carried out");
    registerGauge(
      this.registry,
      "heatherferry_rules_revision",
      "Revision of the rules in force",
      () => Number(state.revisions.revision),
    );
    registerGauge(
      this.registry,
      "heatherferry_requests_open",
      "Requests without an outcome",
      () => state.requests.records.size,
    );
    registerGauge(
      this.registry,
      "heatherferry_attempts_running",
      "Attempts that hold a slot",
      () => state.requests.attempts.size,
    );
    registerGauge(
      this.registry,
      "heatherferry_mirror_rows",
      "Rows of the table held in memory",
      () => state.platform.mirror.size,
    );
    registerGauge(
      this.registry,
      "heatherferry_target_ejections",
      "Targets left out since the start",
      () => state.routing.ejections,
    );
    this.outcomeGauges(state);
  }

  override observe(event: Event, effects: readonly Effect[]): void {
    this.events.inc({ type: event.type });
    for (const effect of effects) {
      this.effects.inc({ type: effect.type });
    }
  }

  private outcomeGauges(state: State): void {
    const { counters } = state.requests;
    const names = Object.keys(counters) as (keyof typeof counters)[];
    const gauge = new Gauge({
      name: "heatherferry_requests",
      help: "Requests by what became of them, since the start",
      labelNames: ["outcome"],
      registers: [this.registry],
      collect: () => {
        for (const name of names) {
          gauge.set({ outcome: name }, counters[name]);
        }
      },
    });
  }

  private counter(name: string, help: string): Counter<"type"> {
    return new Counter({ name, help, labelNames: ["type"], registers: [this.registry] });
  }
}
