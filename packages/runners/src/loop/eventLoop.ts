import { LOG_CLASS, messageOf } from "@heatherferry/common";
import {
  CLOCK,
  reduce,
  type Effect,
  type Event,
  type Policies,
  type State,
} from "@heatherferry/core";
import { NoDeferral, type DeferralPolicy } from "./deferralPolicy.js";

/** An event that the loop has not timestamped yet. */
export type UntimedEvent = Event extends infer Each
  ? Each extends Event
    ? Omit<Each, "atMs" | "wallMs">
    : never
  : never;

/** Executes effects. */
export abstract class EffectRunner {
  /**
   * Executes an effect. The runner reports the result, if any, as an event.
   *
   * @param effect - An effect that the reducer returned.
   */
  abstract run(effect: Effect): void;
}

/** How long an event waited and how long it took to process. */
export interface EventTiming {
  /** Time from when the event was raised, or a clock tick was due, until its reduction. */
  readonly waitedMs: number;
  readonly reduceMs: number;
  /** Time to start its effects; asynchronous work that they wait for is not included. */
  readonly effectsMs: number;
}

/** Observes every event and its effects, in order. */
export abstract class EventObserver {
  abstract observe(
    event: Event,
    effects: readonly Effect[],
    state: State,
    timing: EventTiming,
  ): void;
}

/** Time for events per iteration of the Node.js event loop; after it, deferrable events wait. */
export const ITERATION_BUDGET_MS = 5;

interface QueuedEvent {
  readonly event: UntimedEvent;
  readonly raisedAtMs: number;
}

const latenessOf = (event: Event): number =>
  event.type === "clock/ticked" ? (event.lateMs ?? 0) : 0;

/** Passes events to the reducer one at a time and runs the effects of each synchronously. */
export class EventLoop {
  private readonly queued: QueuedEvent[] = [];
  private readonly deferred: QueuedEvent[] = [];
  private iterationUsedMs = 0;
  /** Pending start of the next iteration; null while the time of this one is not used up. */
  private nextIteration: NodeJS.Immediate | null = null;
  private isHandling = false;
  private timer: NodeJS.Timeout | null = null;
  private tickDueAtMs = 0;

  /**
   * @param state - The node's state. From here on only the loop changes it.
   * @param policies - The node's policies.
   * @param observers - Called after each event has been reduced.
   * @param deferral - Decides which events may be deferred while the node is busy.
   */
  constructor(
    readonly state: State,
    private readonly policies: Policies,
    private readonly observers: readonly EventObserver[],
    private readonly deferral: DeferralPolicy = new NoDeferral(),
  ) {}

  /** Executes effects; null until the components that it needs have been created. */
  runner: EffectRunner | null = null;

  /** Returns the current time of the node's monotonic clock, in ms. */
  static nowMs(): number {
    return performance.now();
  }

  /** Handles a clock tick immediately and then one per tick interval. */
  start(): void {
    this.tickClock();
    this.tickDueAtMs = EventLoop.nowMs() + CLOCK.TICK_MS;
    this.timer = setInterval(() => {
      this.tickOnSchedule();
    }, CLOCK.TICK_MS);
  }

  /** Handles one clock tick. */
  tickClock(): void {
    this.handle({ type: "clock/ticked" });
  }

  private tickOnSchedule(): void {
    const nowMs = EventLoop.nowMs();
    const lateMs = Math.max(0, nowMs - this.tickDueAtMs);
    this.tickDueAtMs = nowMs + CLOCK.TICK_MS;
    this.handle({ type: "clock/ticked", lateMs });
  }

  /** Stops the clock ticks. */
  stop(): void {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
  }

  /**
   * Handles an event. An event raised while another one is being handled is queued.
   *
   * @param event - The event. The loop takes over the object and adds the current time to it.
   */
  handle(event: UntimedEvent): void {
    const raisedAtMs = EventLoop.nowMs();
    if (this.isHandling) {
      this.queued.push({ event, raisedAtMs });
    } else if (this.nextIteration !== null && this.deferral.mayDefer(event)) {
      this.deferred.push({ event, raisedAtMs });
    } else {
      this.handleNow({ event, raisedAtMs });
    }
  }

  private handleNow({ event, raisedAtMs }: QueuedEvent): void {
    const fromMs = EventLoop.nowMs();
    this.isHandling = true;
    try {
      this.handleOne(event, raisedAtMs);
      this.drainQueue();
    } finally {
      this.isHandling = false;
    }
    this.iterationUsedMs += EventLoop.nowMs() - fromMs;
    if (this.iterationUsedMs >= ITERATION_BUDGET_MS) {
      this.nextIteration ??= setImmediate(() => {
        this.beginIteration();
      });
    }
  }

  /** Handles deferred events. By now, input has been read and its urgent events are handled. */
  private beginIteration(): void {
    this.nextIteration = null;
    this.iterationUsedMs = 0;
    while (this.iterationUsedMs < ITERATION_BUDGET_MS) {
      const next = this.deferred.shift();
      if (next === undefined) {
        return;
      }
      this.handleNow(next);
    }
  }

  private drainQueue(): void {
    let next = this.queued.shift();
    while (next !== undefined) {
      this.handleOne(next.event, next.raisedAtMs);
      next = this.queued.shift();
    }
  }

  private handleOne(untimed: UntimedEvent, raisedAtMs: number): void {
    const atMs = EventLoop.nowMs();
    // Adds the time in place, which costs less than copying each event.
    const event: Event = Object.assign(untimed, { atMs, wallMs: Date.now() });
    const effects = this.reduceOrReport(event);
    const reducedAtMs = EventLoop.nowMs();
    for (const effect of effects) {
      this.runOrReport(effect);
    }
    const timing = {
      waitedMs: atMs - raisedAtMs + latenessOf(event),
      reduceMs: reducedAtMs - event.atMs,
      effectsMs: EventLoop.nowMs() - reducedAtMs,
    };
    for (const observer of this.observers) {
      observer.observe(event, effects, this.state, timing);
    }
  }

  /** Reduces an event. A failure is logged and loses only this event; the process continues. */
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

  private report(logEvent: string, failed: string, error: unknown): void {
    const stack = error instanceof Error ? (error.stack ?? null) : null;
    const fields = { failed, problem: messageOf(error), stack };
    try {
      this.runner?.run({
        type: "log/write",
        level: "error",
        event: logEvent,
        fields,
        lineClass: LOG_CLASS.KEPT,
      });
    } catch (logError) {
      process.stderr.write(`${logEvent} ${failed}: ${fields.problem}; ${messageOf(logError)}\n`);
    }
  }
}
