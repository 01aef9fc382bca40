import { assertNever } from "@heatherferry/common";
import { nextFraction, nextIndex } from "../random.js";
import { ANSWER_FAULT, LOAD, CALLER_OUTCOME } from "./constants.js";
import { rateFactorAt } from "./rateFactor.js";
import type {
  LoadEffect,
  LoadEvent,
  LoadRequest,
  LoadState,
  LoadStream,
  CallerResult,
  StreamCounts,
} from "./types.js";

type Effects = readonly LoadEffect[];

const createRequest = (state: LoadState, stream: LoadStream, streamIndex: number): LoadRequest => {
  const { entryHosts } = state.plan;
  state.nextSequence += 1;
  return {
    tag: `${stream.team}.${stream.queue}.${state.plan.seed}.${state.nextSequence}`,
    stream,
    streamIndex,
    idempotent: nextFraction(state.random) < stream.idempotentFraction,
    entryHost: entryHosts[nextIndex(state.random, entryHosts.length)] ?? "",
  };
};

const sendOne = (
  state: LoadState,
  stream: LoadStream,
  streamIndex: number,
  atMs: number,
): LoadEffect => {
  const request = createRequest(state, stream, streamIndex);
  state.inFlight.set(request.tag, { request, sentAtMs: atMs });
  const counts = state.counts[streamIndex];
  if (counts !== undefined) {
    counts.sent += 1;
  }
  return { type: "request/send", request };
};

const sendDue = (state: LoadState, streamIndex: number, atMs: number): Effects => {
  const stream = state.plan.streams[streamIndex];
  if (stream === undefined) {
    return [];
  }
  const factor = rateFactorAt(stream.phases, state.lastTickAtMs - state.startedAtMs);
  const passedMs = atMs - state.lastTickAtMs;
  const due = (state.dueThousandths[streamIndex] ?? 0) + stream.meanPerSecond * factor * passedMs;
  const count = Math.floor(due / 1_000);
  state.dueThousandths[streamIndex] = due - count * 1_000;
  return Array.from({ length: count }, () => sendOne(state, stream, streamIndex, atMs));
};

const finishIfDone = (state: LoadState): Effects =>
  state.stopping && state.inFlight.size === 0 ? [{ type: "load/finished" }] : [];

const reduceTick = (state: LoadState, atMs: number): Effects => {
  if (state.stopping) {
    return [];
  }
  if (atMs - state.startedAtMs >= state.plan.durationMs) {
    state.stopping = true;
    return finishIfDone(state);
  }
  const effects = state.plan.streams.flatMap((_, index) => sendDue(state, index, atMs));
  state.lastTickAtMs = atMs;
  return effects;
};

const countAnswer = (counts: StreamCounts, result: CallerResult, elapsedMs: number): void => {
  const second = Math.floor(elapsedMs / LOAD.BUCKET_MS);
  while (counts.answeredBySecond.length <= second) {
    counts.answeredBySecond.push(0);
  }
  counts.answeredBySecond[second] = (counts.answeredBySecond[second] ?? 0) + 1;
  counts.crossed += result.fault === ANSWER_FAULT.CROSSED ? 1 : 0;
  counts.notWhole += result.fault === ANSWER_FAULT.NOT_WHOLE ? 1 : 0;
};

const reduceRequestEnd = (
  state: LoadState,
  event: LoadEvent & { type: "request/ended" },
): Effects => {
  const { tag, result, atMs } = event;
  const sent = state.inFlight.get(tag);
  const counts = state.counts[sent?.request.streamIndex ?? -1];
  if (sent === undefined || counts === undefined) {
    return [];
  }
  state.inFlight.delete(tag);
  state.outcomes.set(tag, { idempotent: sent.request.idempotent, outcome: result.outcome });
  counts[result.outcome] += 1;
  if (result.outcome === CALLER_OUTCOME.ANSWERED) {
    countAnswer(counts, result, atMs - state.startedAtMs);
    counts.latencyMs.recordValue(Math.min(atMs - sent.sentAtMs, LOAD.HISTOGRAM_MAX_MS));
  }
  if (result.refusalKind !== null) {
    counts.refusals[result.refusalKind] = (counts.refusals[result.refusalKind] ?? 0) + 1;
  }
  return finishIfDone(state);
};

/**
 * Handles one event of a load.
 *
 * @param state - The state of the load, updated in place.
 * @param event - The event.
 * @returns The effects to execute.
 */
export const reduceLoad = (state: LoadState, event: LoadEvent): Effects => {
  switch (event.type) {
    case "clock/ticked":
      return reduceTick(state, event.atMs);
    case "request/ended":
      return reduceRequestEnd(state, event);
    case "load/stopRequested":
      state.stopping = true;
      return finishIfDone(state);
    default:
      return assertNever(event);
  }
};
