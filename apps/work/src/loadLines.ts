import { LOG_CLASS, type JsonLogger } from "@heatherferry/common";
import type { Effect, Event, State } from "@heatherferry/core";
import { EventObserver, type KindLoad, type LoopLoad } from "@heatherferry/runners";
import type { ProcessorTime } from "./processorTime.js";

export const LOAD_LINE = {
  /** Time that a line tells of. */
  GAP_MS: 1_000,
  /** A node with an event as old as this lags. */
  LAG_MS: 200,
  /** Kinds of events that a line names, the dearest first. */
  MOST_KINDS: 5,
} as const;

const NO_LOAD: KindLoad = { events: 0, reduceMs: 0, effectsMs: 0 };

const US_PER_MS = 1_000;

interface KindShare extends Readonly<KindLoad> {
  readonly type: string;
}

const busyMs = ({ reduceMs, effectsMs }: KindLoad): number => reduceMs + effectsMs;

const tenths = (value: number): number => Math.round(value * 10) / 10;

const describe = (kind: KindShare): string => {
  const { type, events, reduceMs, effectsMs } = kind;
  const eachUs = (ms: number): number => Math.round((ms / events) * US_PER_MS);
  return `${type} ${events} x ${eachUs(reduceMs)}+${eachUs(effectsMs)}`;
};

/** Tells once a second what keeps a node busy that owns the work or lags. */
export class LoadLines extends EventObserver {
  private fromMs: number | null = null;
  private processorFromMs = 0;
  private reported = new Map<string, KindLoad>();
  /** Age of the oldest event that was handled in the last second. */
  oldestMs = 0;

  /**
   * @param load - Adds up what events take; it hears of each before this does.
   * @param processor - Tells what the process uses.
   * @param log - Where lines go.
   */
  constructor(
    private readonly load: LoopLoad,
    private readonly processor: ProcessorTime,
    private readonly log: JsonLogger,
  ) {
    super();
  }

  override observe(event: Event, _effects: readonly Effect[], state: State): void {
    if (event.type !== "clock/ticked") {
      return;
    }
    if (this.fromMs === null) {
      this.begin(event.atMs, this.processor.usedMs());
    } else if (event.atMs - this.fromMs >= LOAD_LINE.GAP_MS) {
      this.tell(event.atMs, state, event.atMs - this.fromMs);
    }
  }

  private begin(atMs: number, processorMs: number): void {
    this.fromMs = atMs;
    this.processorFromMs = processorMs;
    for (const [type, kind] of this.load.kinds) {
      this.reported.set(type, { ...kind });
    }
  }

  private tell(atMs: number, { work }: State, elapsedMs: number): void {
    const processorNowMs = this.processor.usedMs();
    this.oldestMs = this.load.takeLongestWaitMs();
    if (work !== null && (work.owned !== null || this.oldestMs >= LOAD_LINE.LAG_MS)) {
      const processorMs = processorNowMs - this.processorFromMs;
      const grantedMs = (elapsedMs * work.processorMilli) / 1_000;
      const kinds = this.sinceReported();
      const sum = (part: (kind: KindShare) => number): number =>
        kinds.reduce((total, kind) => total + part(kind), 0);
      this.log(
        "info",
        "loop.load",
        {
          owner: work.owned !== null,
          submissions: work.owned?.submissions.size ?? 0,
          elapsedMs: Math.round(elapsedMs),
          processorMs: Math.round(processorMs),
          processorPercent: Math.round((100 * processorMs) / grantedMs),
          reduceMs: tenths(sum(({ reduceMs }) => reduceMs)),
          effectsMs: tenths(sum(({ effectsMs }) => effectsMs)),
          events: sum(({ events }) => events),
          oldestMs: tenths(this.oldestMs),
          busiest: kinds.slice(0, LOAD_LINE.MOST_KINDS).map(describe).join(", "),
        },
        LOG_CLASS.KEPT,
      );
    }
    this.begin(atMs, processorNowMs);
  }

  /** @returns What each kind took since the last line, the dearest first. */
  private sinceReported(): KindShare[] {
    return [...this.load.kinds]
      .map(([type, now]) => {
        const before = this.reported.get(type) ?? NO_LOAD;
        return {
          type,
          events: now.events - before.events,
          reduceMs: now.reduceMs - before.reduceMs,
          effectsMs: now.effectsMs - before.effectsMs,
        };
      })
      .filter(({ events }) => events > 0)
      .sort((one, other) => busyMs(other) - busyMs(one));
  }
}
