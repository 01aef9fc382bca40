import { assertNever } from "@heatherferry/common";
import { FAULT, FINDING, SOAK, SOAK_PHASE } from "./constants.js";
import { noteEvacuation, noteReturn } from "./evacuationRule.js";
import { addFinding, noteAcknowledgement, noteEnd, noteStart } from "./runRecords.js";
import { isOwed, reportStarvation, watchStarvation } from "./starvationRule.js";
import { cancelDue, cancelMany, noteAccepted, sendDue } from "./traffic.js";
import type { SoakEffect, SoakEvent, SoakState } from "./types.js";

const ACCEPTED_STATUS = 200;

const strike = (state: SoakState, atMs: number, effects: SoakEffect[]): void => {
  const ended = state.activeFaults.filter(({ untilMs }) => untilMs <= atMs);
  state.activeFaults = state.activeFaults.filter(({ untilMs }) => untilMs > atMs);
  for (const fault of ended) {
    effects.push({ type: "fault/end", fault });
    if (fault.kind === FAULT.EVACUATE_ZONE) {
      noteReturn(state, fault);
    }
  }
  const due = state.waitingFaults.filter((fault) => fault.atMs <= atMs);
  state.waitingFaults = state.waitingFaults.filter((fault) => fault.atMs > atMs);
  for (const fault of due) {
    state.activeFaults.push(fault);
    effects.push({ type: "fault/begin", fault });
    if (fault.kind === FAULT.CANCEL_MANY) {
      cancelMany(state, fault.strength, effects);
    } else if (fault.kind === FAULT.EVACUATE_ZONE) {
      noteEvacuation(state, fault, atMs);
    }
  }
};

const beginReading = (state: SoakState, effects: SoakEffect[]): void => {
  state.phase = SOAK_PHASE.READING;
  for (const submission of state.submissions.values()) {
    if (submission.acceptedAtMs !== null) {
      state.unread.add(submission.id);
      effects.push({ type: "submission/readState", submission });
    }
  }
};

const finishIfRead = (state: SoakState, effects: SoakEffect[]): void => {
  if (state.phase === SOAK_PHASE.READING && state.unread.size === 0) {
    state.phase = SOAK_PHASE.ENDED;
    effects.push({ type: "soak/finished" });
  }
};

/** Goes on to the next phase when its time has come. */
const advancePhase = (state: SoakState, atMs: number, effects: SoakEffect[]): void => {
  const { trafficMs, settleMs } = state.plan;
  const elapsedMs = atMs - state.startedAtMs;
  if (state.phase === SOAK_PHASE.TRAFFIC && elapsedMs >= trafficMs) {
    state.phase = SOAK_PHASE.SETTLING;
  } else if (state.phase === SOAK_PHASE.SETTLING && elapsedMs >= trafficMs + settleMs) {
    state.phase = SOAK_PHASE.WATCHING;
  } else if (
    state.phase === SOAK_PHASE.WATCHING &&
    elapsedMs >= trafficMs + settleMs + SOAK.WATCH_MS
  ) {
    beginReading(state, effects);
  }
};

const tick = (state: SoakState, atMs: number, effects: SoakEffect[]): void => {
  strike(state, atMs, effects);
  if (state.phase === SOAK_PHASE.TRAFFIC) {
    sendDue(state, atMs, effects);
    cancelDue(state, atMs, effects);
  }
  watchStarvation(state, atMs);
  if (state.phase === SOAK_PHASE.WATCHING) {
    reportStarvation(state, atMs);
  }
  advancePhase(state, atMs, effects);
  state.tickedAtMs = atMs;
  finishIfRead(state, effects);
};

const noteAnswer = (
  state: SoakState,
  { id, status, atMs }: Extract<SoakEvent, { type: "submission/answered" }>,
): void => {
  const submission = state.submissions.get(id);
  if (submission === undefined) {
    return;
  }
  if (status === ACCEPTED_STATUS) {
    noteAccepted(state, submission, atMs);
  } else {
    state.refused += 1;
  }
};

/** Compares the state that a caller is shown with what the workers did. */
const checkState = (
  state: SoakState,
  { id, status, state: shown, atMs }: Extract<SoakEvent, { type: "submission/read" }>,
): void => {
  state.unread.delete(id);
  const submission = state.submissions.get(id);
  if (submission === undefined || submission.cancelled) {
    return;
  }
  if (status !== ACCEPTED_STATUS) {
    addFinding(state, FINDING.LOST, atMs, id, `its state is answered with status ${status}`);
  } else if (shown === "failed" && !submission.exhausted) {
    addFinding(state, FINDING.LOST, atMs, id, "it is shown as failed without cause");
  } else if (shown === "completed" && isOwed(submission)) {
    addFinding(state, FINDING.MIXED, atMs, id, "it is shown as completed before it is");
  }
};

/**
 * Applies an event to the state of a soak, which it changes in place.
 *
 * @param state - The state.
 * @param event - The event.
 * @returns What is to be done now, in this order.
 */
export const reduceSoak = (state: SoakState, event: SoakEvent): readonly SoakEffect[] => {
  const effects: SoakEffect[] = [];
  switch (event.type) {
    case "clock/ticked":
      tick(state, event.atMs, effects);
      break;
    case "submission/answered":
      noteAnswer(state, event);
      break;
    case "submission/read":
      checkState(state, event);
      finishIfRead(state, effects);
      break;
    case "worker/began": {
      const used = { cpu: 0, memMb: 0 };
      state.workers.set(event.identity.id, { identity: event.identity, sound: true, used });
      break;
    }
    case "worker/ended":
      state.workers.delete(event.worker);
      break;
    case "worker/soundnessChanged": {
      const worker = state.workers.get(event.worker);
      if (worker !== undefined) {
        worker.sound = event.sound;
      }
      break;
    }
    case "run/started":
      noteStart(state, event.worker, event.item, event.atMs);
      break;
    case "run/ended":
      noteEnd(state, event.worker, event.item, event.run, event.end, event.atMs);
      break;
    case "run/endAcknowledged":
      noteAcknowledgement(state, event.worker, event.item, event.run, event.atMs);
      break;
    default:
      assertNever(event);
  }
  return effects;
};
