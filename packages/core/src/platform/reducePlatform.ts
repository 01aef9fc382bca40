import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import type { State } from "../state.js";
import { PLATFORM } from "./constants.js";
import { confirmRanges, rangesToRead, mergeRows } from "./mirror.js";
import type {
  PendingWrite,
  PlatformEvent,
  PlatformState,
  TableRow,
  WriteOutcome,
} from "./types.js";
import { resendDelayMs, hasTakenEffect } from "./writes.js";

/** What an event changed that the other slices of the state must process. */
export interface PlatformChanges {
  /** Rows that changed in the mirror. */
  readonly rows: readonly TableRow[];
  /** Outcomes of the writes that ended. */
  readonly outcomes: readonly WriteOutcome[];
}

type EventOf<Type extends PlatformEvent["type"]> = Extract<PlatformEvent, { type: Type }>;

const NO_CHANGES: PlatformChanges = { rows: [], outcomes: [] };

export const initialPlatform = (): PlatformState => ({
  mirror: new Map(),
  ranges: new Map(),
  pendingWrites: new Map(),
  nextWriteSequence: 0,
  readInFlight: false,
  nextReadAtMs: 0,
  consecutiveReadFailures: 0,
  tableClockOffsetMs: null,
});

/** Removes a pending write and returns its outcome. */
const settleWrite = (
  state: State,
  pending: PendingWrite,
  result: WriteOutcome["result"],
  rows: readonly TableRow[],
): WriteOutcome => {
  const { write, purpose, firstSentAtMs } = pending;
  state.platform.pendingWrites.delete(write.writeId);
  return { write, purpose, result, firstSentAtMs, rows };
};

const readWhenDue = (state: State, effects: Effect[]): void => {
  const { platform } = state;
  if (platform.readInFlight || state.nowMs < platform.nextReadAtMs) {
    return;
  }
  if (platform.ranges.size === 0) {
    return;
  }
  platform.readInFlight = true;
  effects.push({ type: "table/read", ranges: rangesToRead(state) });
};

const resendWhenDue = (state: State, effects: Effect[]): readonly WriteOutcome[] => {
  const outcomes: WriteOutcome[] = [];
  for (const pending of state.platform.pendingWrites.values()) {
    if (pending.resendAtMs === null || state.nowMs < pending.resendAtMs) {
      continue;
    }
    if (pending.giveUpAtMs !== null && state.nowMs >= pending.giveUpAtMs) {
      outcomes.push(settleWrite(state, pending, "unsettled", []));
      continue;
    }
    pending.sends += 1;
    pending.resendAtMs = null;
    effects.push({ type: "table/write", write: pending.write });
  }
  return outcomes;
};

const handleReadCompleted = (
  state: State,
  event: EventOf<"table/readCompleted">,
): PlatformChanges => {
  const { platform } = state;
  if (event.tableTimeMs !== null) {
    platform.readInFlight = false;
    platform.consecutiveReadFailures = 0;
    platform.nextReadAtMs = event.sentAtMs + PLATFORM.READ_INTERVAL_MS;
    // The table read its clock before the answer arrived, so it is ahead by at least this offset.
    platform.tableClockOffsetMs = event.tableTimeMs - event.atMs;
  }
  confirmRanges(state, event.ranges, event.upToVersion, event.sentAtMs - event.viewAgeMs);
  return { rows: mergeRows(state, event.rows), outcomes: [] };
};

const handleReadFailure = (state: State): void => {
  const { platform } = state;
  platform.readInFlight = false;
  platform.consecutiveReadFailures += 1;
  platform.nextReadAtMs = state.nowMs + PLATFORM.READ_INTERVAL_MS;
};

const committedRows = (
  state: State,
  pending: PendingWrite,
  event: EventOf<"table/writeCommitted">,
): readonly TableRow[] =>
  pending.write.puts.map((put) => ({
    key: put.key,
    version: event.version,
    committedAtMs: state.nowMs + (state.platform.tableClockOffsetMs ?? 0),
    writeIds: put.writeIds,
    body: put.body,
  }));

const handleCommit = (state: State, event: EventOf<"table/writeCommitted">): PlatformChanges => {
  const pending = state.platform.pendingWrites.get(event.writeId);
  if (pending === undefined) {
    return NO_CHANGES;
  }
  return {
    rows: mergeRows(state, committedRows(state, pending, event)),
    outcomes: [settleWrite(state, pending, "committed", [])],
  };
};

const handleConflict = (state: State, event: EventOf<"table/writeConflicted">): PlatformChanges => {
  const pending = state.platform.pendingWrites.get(event.writeId);
  const rows = mergeRows(state, event.rows);
  if (pending === undefined) {
    return { rows, outcomes: [] };
  }
  const result = hasTakenEffect(pending, event.rows) ? "committed" : "conflicted";
  return { rows, outcomes: [settleWrite(state, pending, result, event.rows)] };
};

const handleUnansweredWrite = (state: State, event: EventOf<"table/writeUnanswered">): void => {
  const pending = state.platform.pendingWrites.get(event.writeId);
  if (pending !== undefined) {
    pending.resendAtMs = state.nowMs + resendDelayMs(pending.sends);
  }
};

/**
 * Refreshes the mirror of the table and determines the outcome of each write.
 *
 * @param state - The state to change.
 * @param event - Any event.
 * @param effects - Receives reads and writes.
 * @returns Changed rows and outcomes of writes.
 */
export const reducePlatform = (state: State, event: Event, effects: Effect[]): PlatformChanges => {
  switch (event.type) {
    case "clock/ticked": {
      readWhenDue(state, effects);
      return { rows: [], outcomes: resendWhenDue(state, effects) };
    }
    case "table/readCompleted":
      return handleReadCompleted(state, event);
    case "table/readFailed":
      handleReadFailure(state);
      return NO_CHANGES;
    case "table/writeCommitted":
      return handleCommit(state, event);
    case "table/writeConflicted":
      return handleConflict(state, event);
    case "table/writeUnanswered":
      handleUnansweredWrite(state, event);
      return NO_CHANGES;
    default:
      return NO_CHANGES;
  }
};
