import { address, availabilityZoneId, entryHostId, incarnation } from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  initialWork,
  NODE_ROLE,
  type Effect,
  type State,
} from "@heatherferry/core";
import test from "ava";
import { EffectRunner, EventLoop, type UntimedEvent } from "../src/index.js";

const BOUND_MS = 3_000;

const BOUNDS = {
  revokeMs: BOUND_MS,
  configApplyMs: BOUND_MS,
  holdMaxMs: BOUND_MS,
  stopMs: BOUND_MS,
  gangMs: BOUND_MS,
  graceMs: BOUND_MS,
  drainMs: BOUND_MS,
  statusKeptMs: BOUND_MS,
  visibleMs: BOUND_MS,
  dutyLeaseMs: BOUND_MS,
  noticeMs: BOUND_MS,
  impactMs: BOUND_MS,
  moveMs: BOUND_MS,
  upkeepMs: BOUND_MS,
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
  state.work = initialWork({ holder: "n0", incarnation: "n0-1" }, BOUNDS, 1_000);
  return state;
};

/** Keeps what it is told to do, and fails at effects of one type. */
class FailingRunner extends EffectRunner {
  readonly effects: Effect[] = [];

  constructor(private readonly failsAt: Effect["type"] | null) {
    super();
  }

  override run(effect: Effect): void {
    this.effects.push(effect);
    if (effect.type === this.failsAt) {
      throw new Error("this effect fails");
    }
  }

  logged(event: string): number {
    return this.effects.filter((effect) => effect.type === "log/write" && effect.event === event)
      .length;
  }
}

const loopWith = (runner: FailingRunner): EventLoop => {
  const loop = new EventLoop(newState(), defaultPolicies(), []);
  loop.runner = runner;
  return loop;
};

/** A call that lacks all that a call has. */
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
  t.true(runner.logged("event.failed") > 0);
  Object.defineProperty(loop.state.work ?? {}, "catalog", { value: null });
  loop.handle({ type: "node/shutdownRequested" });
  t.not(loop.state.work?.leavingAtMs, null);
});

test("an effect that fails keeps those after it from being carried out", (t) => {
  const runner = new FailingRunner("store/scan");
  const loop = loopWith(runner);
  loop.turnClock();
  loop.turnClock();
  t.true(runner.logged("effect.failed") > 0);
  t.true(runner.effects.filter(({ type }) => type === "store/scan").length > 0);
});
