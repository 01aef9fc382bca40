import {
  allInvariants,
  defaultPolicies,
  initialState,
  reduce,
  type Effect,
  type Event,
  type Invariant,
  type State,
} from "@heatherferry/core";
import { messageOf } from "@heatherferry/common";
import { TRACE } from "./constants.js";
import { TRACE_ERROR_KIND, TraceError } from "./errors.js";
import type { ReplayResult, TraceHeader } from "./types.js";

const parseLine = (line: string, number: number): unknown => {
  try {
    return JSON.parse(line);
  } catch (error) {
    throw new TraceError(
      TRACE_ERROR_KIND.UNREADABLE_LINE,
      `Line ${number} of the trace is not JSON: ${messageOf(error)}`,
      "Fetch the trace again; its last line may be truncated",
    );
  }
};

const readHeader = (line: string | undefined): TraceHeader => {
  const header = parseLine(line ?? "null", 1) as TraceHeader | null;
  if (header?.format !== TRACE.FORMAT) {
    throw new TraceError(
      TRACE_ERROR_KIND.WRONG_FORMAT,
      "The file is not a trace, or has another format version",
      `Pass a trace whose first line has the format ${TRACE.FORMAT}`,
    );
  }
  return header;
};

const incrementCount = (counts: Record<string, number>, key: string): void => {
  counts[key] = (counts[key] ?? 0) + 1;
};

/** Replays events one by one and collects the result. */
class Replay {
  readonly effects: Record<string, number> = {};
  readonly refusals: Record<string, number> = {};
  readonly violations: { event: number; text: string }[] = [];
  events = 0;
  private readonly policies = defaultPolicies();

  constructor(
    readonly state: State,
    private readonly invariants: readonly Invariant[],
  ) {}

  replayEvent(event: Event): void {
    this.events += 1;
    const effects = reduce(this.state, event, this.policies);
    effects.forEach((effect) => {
      this.countEffect(effect);
    });
    for (const invariant of this.invariants) {
      const violation = invariant.violation(event, effects, this.state);
      if (violation !== null) {
        this.violations.push({ event: this.events, text: `${invariant.name}: ${violation}` });
      }
    }
  }

  private countEffect(effect: Effect): void {
    incrementCount(this.effects, effect.type);
    if (effect.type === "caller/refuse") {
      incrementCount(this.refusals, effect.refusal.kind);
    }
  }
}

/**
 * Runs a recorded trace through the reducer and checks every invariant after each event.
 *
 * @param text - The trace, as JSON lines.
 * @returns Counts and invariant violations of the replay.
 * @throws TraceError if the text is not a trace.
 */
export const replayTrace = (text: string): ReplayResult => {
  const lines = text.split("\n").filter((line) => line !== "");
  const header = readHeader(lines[0]);
  const state = initialState(header.identity, header.seed, header.startedAtMs);
  const replay = new Replay(state, allInvariants());
  lines.slice(1).forEach((line, index) => {
    replay.replayEvent(parseLine(line, index + 2) as Event);
  });
  return {
    events: replay.events,
    effects: replay.effects,
    requests: { ...state.requests.counters },
    refusals: replay.refusals,
    revision: state.revisions.revision,
    violations: replay.violations,
  };
};
