import { assertNever } from "@heatherferry/common";
import type { ExchangeId } from "../http/types.js";
import { TARGET_BEHAVIOUR } from "./constants.js";
import type { TargetEffect, TargetEvent, TargetState } from "./types.js";

type Effects = readonly TargetEffect[];

/**
 * Returns the state of an idle target.
 *
 * @param slots - Largest number of requests that run at the same time.
 */
export const initialTargetState = (slots: number): TargetState => ({
  slots,
  behaviour: TARGET_BEHAVIOUR.NORMAL,
  powered: true,
  running: new Map(),
  runsByTag: new Map(),
  counters: { refusedFull: 0, cutOff: 0, hungUp: 0, peakRunning: 0, reboots: 0 },
});

const reduceArrival = (
  state: TargetState,
  event: TargetEvent & { type: "request/arrived" },
): Effects => {
  const { exchangeId, work, jitterFraction } = event;
  if (!state.powered) {
    return [{ type: "request/destroy", exchangeId }];
  }
  if (state.running.size >= state.slots) {
    state.counters.refusedFull += 1;
    return [{ type: "request/refuse", exchangeId, tag: work.tag }];
  }
  state.running.set(exchangeId, { tag: work.tag });
  state.runsByTag.set(work.tag, (state.runsByTag.get(work.tag) ?? 0) + 1);
  state.counters.peakRunning = Math.max(state.counters.peakRunning, state.running.size);
  const workMs = work.workMs + Math.round(work.workJitterMs * jitterFraction);
  return [{ type: "request/run", exchangeId, work, workMs, behaviour: state.behaviour }];
};

/** Stops the work of a closed connection; the work that has started still counts as a run. */
const reduceConnectionLost = (state: TargetState, exchangeId: ExchangeId): Effects => {
  if (!state.running.delete(exchangeId)) {
    return [];
  }
  state.counters.hungUp += 1;
  return [{ type: "request/abandon", exchangeId }];
};

/** Removes all running requests and counts them as cut off. */
const cutOffRunning = (state: TargetState): void => {
  state.counters.cutOff += state.running.size;
  state.running.clear();
};

const reduceReboot = (
  state: TargetState,
  event: TargetEvent & { type: "reboot/requested" },
): Effects => {
  const { exchangeId, comesBack } = event;
  cutOffRunning(state);
  state.powered = false;
  state.counters.reboots += 1;
  return [
    { type: "connections/destroy", exceptExchangeId: exchangeId },
    { type: "reboot/wait", exchangeId, comesBack },
  ];
};

/**
 * Handles one event of a target.
 *
 * @param state - The state of the target, updated in place.
 * @param event - The event.
 * @returns The effects to execute.
 */
export const reduceTarget = (state: TargetState, event: TargetEvent): Effects => {
  switch (event.type) {
    case "request/arrived":
      return reduceArrival(state, event);
    case "request/ended":
      state.running.delete(event.exchangeId);
      return [];
    case "request/connectionLost":
      return reduceConnectionLost(state, event.exchangeId);
    case "behaviour/set":
      state.behaviour = event.behaviour;
      return [];
    case "reboot/requested":
      return reduceReboot(state, event);
    case "reboot/elapsed":
      state.powered = event.comesBack;
      return [{ type: "reboot/answer", exchangeId: event.exchangeId, cameBack: event.comesBack }];
    case "stop/elapsed":
      cutOffRunning(state);
      return [{ type: "connections/destroy", exceptExchangeId: null }];
    default:
      return assertNever(event);
  }
};
