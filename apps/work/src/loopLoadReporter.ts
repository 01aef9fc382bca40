import { LOG_CLASS, type JsonLogger } from "@heatherferry/common";
import type { Effect, Event, State } from "@heatherferry/core";
import { EventObserver, type EventTypeLoad, type LoopLoad } from "@heatherferry/runners";
import type { ProcessorTime } from "./processorTime.js";

export const LOAD_REPORT = {
  /** Interval between two reports. */
  INTERVAL_MS: 1_000,
  /** Age of an event from which a node counts as lagging. */
  LAG_THRESHOLD_MS: 200,
  /** Number of event types that a report lists, the most expensive first. */
  MAX_EVENT_TYPES: 5,
} as const;

const NO_LOAD: EventTypeLoad = { events: 0, reduceMs: 0, effectsMs: 0 };

const US_PER_MS = 1_000;

interface EventTypeShare extends Readonly<EventTypeLoad> {
  readonly type: string;
}

const busyMs = ({ reduceMs, effectsMs }: EventTypeLoad): number => reduceMs + effectsMs;

const roundToTenth = (value: number): number => Math.round(value * 10) / 10;

const formatLoad = (kind: EventTypeShare): string => {
  const { type, events, reduceMs, effectsMs } = kind;
  const averageUs = (ms: number): number => Math.round((ms / events) * US_PER_MS);
  return `${type} ${events} x ${averageUs(reduceMs)}+${averageUs(effectsMs)}`;
};

/** Logs once a second what keeps a node busy, if it owns the work or lags. */
export class LoopLoadReporter extends EventObserver {
  private intervalStartMs: number | null = null;
  private processorStartMs = 0;
  private reported = new Map<string, EventTypeLoad>();
  /** Age of the oldest event handled in the last reporting interval, in ms. */
  oldestEventAgeMs = 0;

  /**
   * @param load - Sums the time that events take; it observes each event before this object does.
   * @param processor - Reports the processor time that the process has used.
   * @param log - Receives the reports.
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
    if (this.intervalStartMs === null) {
      this.startInterval(event.atMs, this.processor.usedMs());
    } else if (event.atMs - this.intervalStartMs >= LOAD_REPORT.INTERVAL_MS) {
      this.report(event.atMs, state, event.atMs - this.intervalStartMs);
    }
  }

  private startInterval(atMs: number, processorMs: number): void {
    this.intervalStartMs = atMs;
    this.processorStartMs = processorMs;
    for (const [type, kind] of this.load.loadByType) {
      this.reported.set(type, { ...kind });
    }
  }

  private report(atMs: number, { work }: State, elapsedMs: number): void {
    const processorNowMs = this.processor.usedMs();
    this.oldestEventAgeMs = this.load.takeLongestWaitMs();
    if (
      work !== null &&
      (work.owned !== null || this.oldestEventAgeMs >= LOAD_REPORT.LAG_THRESHOLD_MS)
    ) {
      const processorMs = processorNowMs - this.processorStartMs;
      const grantedMs = (elapsedMs * work.processorMilli) / 1_000;
      const kinds = this.sinceReported();
      const sum = (part: (kind: EventTypeShare) => number): number =>
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
          reduceMs: roundToTenth(sum(({ reduceMs }) => reduceMs)),
          effectsMs: roundToTenth(sum(({ effectsMs }) => effectsMs)),
          events: sum(({ events }) => events),
          oldestMs: roundToTenth(this.oldestEventAgeMs),
          busiest: kinds.slice(0, LOAD_REPORT.MAX_EVENT_TYPES).map(formatLoad).join(", "),
        },
        LOG_CLASS.KEPT,
      );
    }
    this.startInterval(atMs, processorNowMs);
  }

  /** Returns what each event type took since the last report, the most expensive first. */
  private sinceReported(): EventTypeShare[] {
    return [...this.load.loadByType]
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
