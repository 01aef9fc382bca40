import { LOG_CLASS, messageOf } from "@heatherferry/common";
import {
  CLOCK,
  reduce,
  type Effect,
  type Event,
  type Policies,
  type State,
} from "@heatherferry/core";
import { AsTheyCome, type EventUrgency } from "./eventUrgency.js";

/** An event before the loop gives it its time. */
export type UntimedEvent = Event extends infer Each
  ? Each extends Event
    ? Omit<Each, "atMs" | "wallMs">
    : never
  : never;

/** Carries effects out. */
export abstract class EffectRunner {
  /**
   * @param effect - What the reducer decided; the runner turns its result into events.
   */
  abstract run(effect: Effect): void;
}

/** How long an event waited, and how long the process was busy with it. */
export interface EventTiming {
  /** From when it arose to when the reducer got it; a turn of the clock arises when it is due. */
  readonly waitedMs: number;
  readonly reduceMs: number;
  /** Until its effects were begun; what they wait for is not in it. */
  readonly effectsMs: number;
}

/** Hears of every event and its effects, in order. */
export abstract class EventObserver {
  abstract observe(
    event: Event,
    effects: readonly Effect[],
    state: State,
    timing: EventTiming,
  ): void;
}

/** Events that may wait do so once a turn of the runtime has handled events for so long. */
export const TURN_MS = 5;

interface WaitingEvent {
  readonly event: UntimedEvent;
  readonly aroseAtMs: number;
}

const latenessOf = (event: Event): number =>
  event.type === "clock/ticked" ? (event.lateMs ?? 0) : 0;

/** Hands events to the reducer one at a time and its effects to the runner, in the same turn. */
export class EventLoop {
  private readonly waiting: WaitingEvent[] = [];
  private readonly deferred: WaitingEvent[] = [];
  private turnUsedMs = 0;
  /** Set once this turn of the runtime is used up. */
  private nextTurn: NodeJS.Immediate | null = null;
  private running = false;
  private timer: NodeJS.Timeout | null = null;
  private turnDueAtMs = 0;

  /**
   * @param state - The node's state; from here on the loop's alone.
   * @param policies - The node's policies.
   * @param observers - Hear of each event after it was reduced.
   * @param urgency - Which events may wait while there is much to do.
   */
  constructor(
    readonly state: State,
    private readonly policies: Policies,
    private readonly observers: readonly EventObserver[],
    private readonly urgency: EventUrgency = new AsTheyCome(),
  ) {}

  /** Set once the parts that carry effects out are made. */
  runner: EffectRunner | null = null;

  /** @returns Present time on the node's monotonic clock, in ms. */
  static nowMs(): number {
    return performance.now();
  }

  /** Starts turning the clock. */
  start(): void {
    this.turnClock();
    this.turnDueAtMs = EventLoop.nowMs() + CLOCK.TICK_MS;
    this.timer = setInterval(() => {
      this.turnClockOnTime();
    }, CLOCK.TICK_MS);
  }

  /** Turns the clock once. */
  turnClock(): void {
    this.handle({ type: "clock/ticked" });
  }

  private turnClockOnTime(): void {
    const nowMs = EventLoop.nowMs();
    const lateMs = Math.max(0, nowMs - this.turnDueAtMs);
    this.turnDueAtMs = nowMs + CLOCK.TICK_MS;
    this.handle({ type: "clock/ticked", lateMs });
  }

  /** Stops turning the clock. */
  stop(): void {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
  }

  /**
   * Takes an event. One that arises while another is being handled waits for its turn.
   *
   * @param event - What happened; it is the loop's from here on, and given the present time.
   */
  handle(event: UntimedEvent): void {
    const aroseAtMs = EventLoop.nowMs();
    if (this.running) {
      this.waiting.push({ event, aroseAtMs });
    } else if (this.nextTurn !== null && this.urgency.mayWait(event)) {
      this.deferred.push({ event, aroseAtMs });
    } else {
      this.handleNow({ event, aroseAtMs });
    }
  }

  private handleNow({ event, aroseAtMs }: WaitingEvent): void {
    const fromMs = EventLoop.nowMs();
    this.running = true;
    try {
      this.handleOne(event, aroseAtMs);
      this.drainWaiting();
    } finally {
      this.running = false;
    }
    this.turnUsedMs += EventLoop.nowMs() - fromMs;
    if (this.turnUsedMs >= TURN_MS) {
      this.nextTurn ??= setImmediate(() => {
        this.beginTurn();
      });
    }
  }

  /** The runtime has read what had come in; what is urgent among it was handled. */
  private beginTurn(): void {
    this.nextTurn = null;
    this.turnUsedMs = 0;
    while (this.turnUsedMs < TURN_MS) {
      const next = this.deferred.shift();
      if (next === undefined) {
        return;
      }
      this.handleNow(next);
    }
  }

  private drainWaiting(): void {
    let next = this.waiting.shift();
    while (next !== undefined) {
      this.handleOne(next.event, next.aroseAtMs);
      next = this.waiting.shift();
    }
  }

  private handleOne(untimed: UntimedEvent, aroseAtMs: number): void {
    const atMs = EventLoop.nowMs();
    // A copy of each event would cost more than its time.
    const event: Event = Object.assign(untimed, { atMs, wallMs: Date.now() });
    const effects = this.reduceOrReport(event);
    const reducedAtMs = EventLoop.nowMs();
    for (const effect of effects) {
      this.runOrReport(effect);
    }
    const timing = {
      waitedMs: atMs - aroseAtMs + latenessOf(event),
      reduceMs: reducedAtMs - event.atMs,
      effectsMs: EventLoop.nowMs() - reducedAtMs,
    };
    for (const observer of this.observers) {
      observer.observe(event, effects, this.state, timing);
    }
  }

  /** An event that fails costs what it asked for, and not the process. */
  private reduceOrReport(event: Event): readonly Effect[] {
    try {
      return reduce(this.state, event, this.policies);
    } catch (error) {
      this.report("event.failed", event.type, error);
      if (event.type !== "node/eventFailed") {
        this.handle({ type: "node/eventFailed", failedType: event.type });
      }
      return [];
    }
  }

  private runOrReport(effect: Effect): void {
    try {
      this.runner?.run(effect);
    } catch (error) {
      this.report("effect.failed", effect.type, error);
    }
  }

  private report(line: string, failed: string, error: unknown): void {
    const stack = error instanceof Error ? (error.stack ?? null) : null;
    const fields = { failed, problem: messageOf(error), stack };
    try {
      this.runner?.run({
        type: "log/write",
        level: "error",
        event: line,
        fields,
        lineClass: LOG_CLASS.KEPT,
      });
    } catch (logError) {
      process.stderr.write(`${line} ${failed}: ${fields.problem}; ${messageOf(logError)}\n`);
    }
  }
}
