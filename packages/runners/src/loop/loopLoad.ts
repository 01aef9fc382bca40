import type { Effect, Event, State } from "@heatherferry/core";
import { EventObserver, type EventTiming } from "./eventLoop.js";

/** Number of events of one type and the time spent on them since the process started. */
export interface EventTypeLoad {
  events: number;
  reduceMs: number;
  effectsMs: number;
}

/** Sums the time that the process spends on each type of event. */
export class LoopLoad extends EventObserver {
  readonly loadByType = new Map<Event["type"], EventTypeLoad>();
  private longestWaitMs = 0;

  override observe(
    { type }: Event,
    _effects: readonly Effect[],
    _state: State,
    { waitedMs, reduceMs, effectsMs }: EventTiming,
  ): void {
    let load = this.loadByType.get(type);
    if (load === undefined) {
      load = { events: 0, reduceMs: 0, effectsMs: 0 };
      this.loadByType.set(type, load);
    }
    load.events += 1;
    load.reduceMs += reduceMs;
    load.effectsMs += effectsMs;
    this.longestWaitMs = Math.max(this.longestWaitMs, waitedMs);
  }

  /** Returns the longest wait of the events handled since the last call, in ms, and resets it. */
  takeLongestWaitMs(): number {
    const { longestWaitMs } = this;
    this.longestWaitMs = 0;
    return longestWaitMs;
  }
}
