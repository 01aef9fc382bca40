import { address, availabilityZoneId, entryHostId, incarnation } from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  type Effect,
  type Event,
  type State,
} from "@heatherferry/core";
import { install } from "@sinonjs/fake-timers";
import test from "ava";
import {
  EffectRunner,
  EventLoop,
  EventObserver,
  LoopLoad,
  ITERATION_BUDGET_MS,
  WorkerAnswerDeferral,
  type EventTiming,
  type UntimedEvent,
} from "../src/index.js";

const BOUND_MS = 3_000;

const BOUNDS = {
  revokeMs: BOUND_MS,
  configApplyMs: BOUND_MS,
  holdMaxMs: BOUND_MS,
  stopMs: BOUND_MS,
  gangMs: BOUND_MS,
  graceMs: BOUND_MS,
  drainMs: BOUND_MS,
  statusRetentionMs: BOUND_MS,
  visibleMs: BOUND_MS,
  hostOrderLeaseMs: BOUND_MS,
  noticeMs: BOUND_MS,
  impactMs: BOUND_MS,
  moveMs: BOUND_MS,
  maintenanceMs: BOUND_MS,
  evacuationMs: null,
};

const newState = (): State => {
  const identity = {
    role: NODE_ROLE.WORK,
    entryHostId: entryHostId("n0"),
    availabilityZone: availabilityZoneId("a"),
    incarnation: incarnation("n0-1"),
    callerAddress: address(""),
    peerAddress: address(""),
  };
  const state = initialState(identity, 1, 0);
  state.work = initialWorkloadState({ holder: "n0", incarnation: "n0-1" }, BOUNDS, 1_000);
  return state;
};

/** Records effects and throws at those of one type. */
class FailingRunner extends EffectRunner {
  readonly effects: Effect[] = [];

  constructor(private readonly failingType: Effect["type"] | null) {
    super();
  }

  override run(effect: Effect): void {
    this.effects.push(effect);
    if (effect.type === this.failingType) {
      throw new Error("this effect fails");
    }
  }

  countLogged(event: string): number {
    return this.effects.filter((effect) => effect.type === "log/write" && effect.event === event)
      .length;
  }
}

const loopWith = (runner: FailingRunner): EventLoop => {
  const loop = new EventLoop(newState(), defaultPolicies(), []);
  loop.runner = runner;
  return loop;
};

/** An arrival event that lacks all fields of a call. */
const DAMAGED = { type: "call/arrived" } as unknown as UntimedEvent;

test("an event that cannot be handled ends the process, or stops the loop", (t) => {
  const runner = new FailingRunner(null);
  const loop = loopWith(runner);
  Object.defineProperty(loop.state.work ?? {}, "catalog", {
    get: () => {
      throw new Error("this state is damaged");
    },
    configurable: true,
  });
  loop.handle(DAMAGED);
  t.true(runner.countLogged("event.failed") > 0);
  Object.defineProperty(loop.state.work ?? {}, "catalog", { value: null });
  loop.handle({ type: "node/shutdownRequested" });
  t.not(loop.state.work?.shutdownRequestedAtMs, null);
});

test("an effect that fails keeps those after it from being executed", (t) => {
  const runner = new FailingRunner("store/scan");
  const loop = loopWith(runner);
  loop.tickClock();
  loop.tickClock();
  t.true(runner.countLogged("effect.failed") > 0);
  t.true(runner.effects.filter(({ type }) => type === "store/scan").length > 0);
});

const EFFECT_MS = 30;

/** Takes some time for each effect, and raises an event before the first one. */
class SlowRunner extends EffectRunner {
  loop: EventLoop | null = null;
  private hasRaised = false;

  constructor(private readonly advanceMs: (ms: number) => void) {
    super();
  }

  override run(): void {
    if (!this.hasRaised) {
      this.hasRaised = true;
      this.loop?.handle({ type: "node/shutdownRequested" });
    }
    this.advanceMs(EFFECT_MS);
  }
}

class TimingObserver extends EventObserver {
  readonly timings: (EventTiming & { readonly type: Event["type"]; readonly effects: number })[] =
    [];

  override observe(
    { type }: Event,
    effects: readonly Effect[],
    _state: State,
    timing: EventTiming,
  ): void {
    this.timings.push({ type, effects: effects.length, ...timing });
  }
}

test.serial("an event queued behind a slow one is counted as handled without a wait", (t) => {
  const clock = install();
  t.teardown(() => {
    clock.uninstall();
  });
  const observer = new TimingObserver();
  const load = new LoopLoad();
  const loop = new EventLoop(newState(), defaultPolicies(), [observer, load]);
  const runner = new SlowRunner((ms) => {
    clock.tick(ms);
  });
  loop.runner = runner;
  runner.loop = loop;
  loop.tickClock();
  const [tick, shutdown] = observer.timings;
  const tickEffectsMs = (tick?.effects ?? 0) * EFFECT_MS;
  t.true(tickEffectsMs > 0);
  t.like(tick, { type: "clock/ticked", waitedMs: 0, reduceMs: 0, effectsMs: tickEffectsMs });
  t.like(shutdown, { type: "node/shutdownRequested", waitedMs: tickEffectsMs });
  t.like(load.loadByType.get("clock/ticked"), { events: 1, effectsMs: tickEffectsMs });
  t.is(load.takeLongestWaitMs(), tickEffectsMs);
  t.is(load.takeLongestWaitMs(), 0);
});

test.serial("a clock tick that a busy process delayed is counted as on time", (t) => {
  const observer = new TimingObserver();
  const loop = new EventLoop(newState(), defaultPolicies(), [observer]);
  loop.handle({ type: "clock/ticked", lateMs: 300 });
  t.true((observer.timings[0]?.waitedMs ?? 0) >= 300);
});

const POLL_FAILED = {
  type: "worker/lookFailed",
  wrongIncarnation: false,
  reason: "",
} as unknown as UntimedEvent;

/** Makes the handling of each event take some time. */
class SlowObserver extends EventObserver {
  readonly types: Event["type"][] = [];

  constructor(private readonly advanceClock: () => void) {
    super();
  }

  override observe({ type }: Event): void {
    this.types.push(type);
    this.advanceClock();
  }
}

const MAX_ITERATIONS = 20;

const nextIteration = async (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test.serial("the answer to the owner's commit waits behind answers of many workers", async (t) => {
  const clock = install({ toFake: ["performance"] });
  t.teardown(() => {
    clock.uninstall();
  });
  const observer = new SlowObserver(() => {
    clock.tick(ITERATION_BUDGET_MS);
  });
  const loop = new EventLoop(newState(), defaultPolicies(), [observer], new WorkerAnswerDeferral());
  const polls = 10;
  for (let poll = 0; poll < polls; poll += 1) {
    loop.handle({ ...POLL_FAILED });
  }
  loop.handle({ type: "node/shutdownRequested" });
  t.deepEqual(observer.types, ["worker/lookFailed", "node/shutdownRequested"]);
  await nextIteration();
  loop.handle({ type: "clock/ticked" });
  const early = observer.types.length;
  t.true(early < polls, `${early} events before the clock tick`);
  for (let iteration = 0; iteration < MAX_ITERATIONS; iteration += 1) {
    await nextIteration();
  }
  t.is(observer.types.filter((type) => type === "worker/lookFailed").length, polls);
});

test.serial("answers of workers overtake each other", async (t) => {
  const clock = install({ toFake: ["performance"] });
  t.teardown(() => {
    clock.uninstall();
  });
  const seen: string[] = [];
  class ReasonObserver extends EventObserver {
    override observe(event: Event): void {
      seen.push(event.type === "worker/lookFailed" ? event.reason : "");
      clock.tick(ITERATION_BUDGET_MS / 2);
    }
  }
  const observer = new ReasonObserver();
  const loop = new EventLoop(newState(), defaultPolicies(), [observer], new WorkerAnswerDeferral());
  const reasons = Array.from({ length: 9 }, (_unused, index) => `${index}`);
  for (const reason of reasons) {
    loop.handle({ ...POLL_FAILED, reason } as UntimedEvent);
    if (reason === "5") {
      await nextIteration();
    }
  }
  for (let iteration = 0; iteration < MAX_ITERATIONS; iteration += 1) {
    await nextIteration();
  }
  t.deepEqual(seen, reasons);
});
