import type { Effect, Event, State } from "@heatherferry/core";
import { EventObserver, type EventTiming } from "./eventLoop.js";

/** What events of one kind took since the process began. */
export interface KindLoad {
  events: number;
  reduceMs: number;
  effectsMs: number;
}

/** Adds up what each kind of event takes of the process. */
export class LoopLoad extends EventObserver {
  readonly kinds = new Map<Event["type"], KindLoad>();
  private longestWaitMs = 0;

  override observe(
    { type }: Event,
    _effects: readonly Effect[],
    _state: State,
    { waitedMs, reduceMs, effectsMs }: EventTiming,
  ): void {
    let kind = this.kinds.get(type);
    if (kind === undefined) {
      kind = { events: 0, reduceMs: 0, effectsMs: 0 };
      this.kinds.set(type, kind);
    }
    kind.events += 1;
    kind.reduceMs += reduceMs;
    kind.effectsMs += effectsMs;
    this.longestWaitMs = Math.max(this.longestWaitMs, waitedMs);
  }

  /** @returns How old the oldest event was that was handled since the last call, in ms. */
  takeLongestWaitMs(): number {
    const { longestWaitMs } = this;
    this.longestWaitMs = 0;
    return longestWaitMs;
  }
}
