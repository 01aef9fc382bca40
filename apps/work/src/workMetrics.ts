import type { Effect, Event, State } from "@heatherferry/core";
import { EventObserver, registerGauge } from "@heatherferry/runners";
import { Counter, Histogram, Registry } from "prom-client";
import type { BoundedSink } from "./boundedSink.js";

const DURATION_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** Metrics of a node that serves submissions. */
export class WorkMetrics extends EventObserver {
  readonly registry = new Registry();
  private readonly answers: Counter<"outcome">;
  private readonly effects = new Map<Effect["type"], number>();
  private readonly runEnds: Counter<"how">;
  private readonly answerTime: Histogram;
  private readonly commitTime: Histogram<"result">;
  private readonly lag: Histogram;
  private readonly arrivedAtMs = new Map<string, number>();

  /**
   * @param state - State of the node, read at each collection.
   * @param sink - Provides the number of dropped log lines.
   */
  constructor(state: State, sink: BoundedSink) {
    super();
    const registers = [this.registry];
    this.answers = new Counter({
      name: "heatherferry_call_answers_total",
      help: "Answers to callers, by outcome",
      labelNames: ["outcome"],
      registers,
    });
    const effectsTotal = new Counter({
      name: "heatherferry_effects_total",
      help: "Effects carried out, by type",
      labelNames: ["type"],
      registers,
      collect: () => {
        effectsTotal.reset();
        for (const [type, count] of this.effects) {
          effectsTotal.inc({ type }, count);
        }
      },
    });
    this.runEnds = new Counter({
      name: "heatherferry_run_ends_total",
      help: "Ends of runs that workers listed, by how they ended",
      labelNames: ["how"],
      registers,
    });
    this.answerTime = new Histogram({
      name: "heatherferry_call_seconds",
      help: "Time from a caller's call to its answer",
      buckets: DURATION_BUCKETS_S,
      registers,
    });
    this.commitTime = new Histogram({
      name: "heatherferry_store_commit_seconds",
      help: "Time of a transaction of the store, by result",
      labelNames: ["result"],
      buckets: DURATION_BUCKETS_S,
      registers,
    });
    this.lag = new Histogram({
      name: "heatherferry_loop_lag_seconds",
      help: "How late the event loop handled a turn of its clock",
      buckets: DURATION_BUCKETS_S,
      registers,
    });
    registerGauge(
      this.registry,
      "heatherferry_owner_fence",
      "Fence while this node owns the work, else 0",
      () => Number(state.work?.owned?.fence ?? 0),
    );
    registerGauge(
      this.registry,
      "heatherferry_submissions",
      "Submissions in the owner's care",
      () => state.work?.owned?.submissions.size ?? 0,
    );
    registerGauge(
      this.registry,
      "heatherferry_catalog_revision",
      "Revision of the catalog in force",
      () => state.work?.catalog?.revision ?? 0,
    );
    registerGauge(
      this.registry,
      "heatherferry_log_lines_dropped",
      "Log lines dropped",
      () => sink.dropped.kept + sink.dropped.routine,
    );
    registerGauge(
      this.registry,
      "heatherferry_log_kept_lines_dropped",
      "Log lines dropped that an incident needs",
      () => sink.dropped.kept,
    );
  }

  override observe(event: Event, effects: readonly Effect[]): void {
    if (event.type === "clock/ticked" && event.lateMs !== undefined) {
      this.lag.observe(event.lateMs / 1_000);
    } else if (event.type === "call/arrived") {
      this.arrivedAtMs.set(event.callId, event.atMs);
    } else if (event.type === "call/abandoned") {
      this.arrivedAtMs.delete(event.callId);
    } else if (event.type === "store/commitSettled") {
      this.commitTime.observe({ result: event.result }, (event.atMs - event.sentAtMs) / 1_000);
    } else if (event.type === "worker/looked") {
      for (const end of event.ends) {
        this.runEnds.inc({ how: end.kind });
      }
    }
    for (const effect of effects) {
      this.effects.set(effect.type, (this.effects.get(effect.type) ?? 0) + 1);
      if (effect.type === "call/answer") {
        this.answers.inc({ outcome: effect.kind });
        this.answerTime.observe(
          (event.atMs - (this.arrivedAtMs.get(effect.callId) ?? event.atMs)) / 1_000,
        );
        this.arrivedAtMs.delete(effect.callId);
      }
    }
  }
}
