import { assertNever, HeatherferryError, tableVersion, writeId } from "@heatherferry/common";
import type { TableRow } from "@heatherferry/core";
import { COMMAND } from "../constants.js";
import { failed } from "../operation/decisions.js";
import type { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import { tableWriteOf, wasCommittedEarlier } from "../operation/tableWrite.js";
import type { Continue, Decision, Finish, Output, Write } from "../operation/types.js";
import type { CommandEffect, CommandEvent, CommandState, PendingWrite } from "./types.js";

/**
 * Returns the state of a command before its first event.
 *
 * @param operation - First operation of the command.
 * @param invocation - Id that is unique to this run; the prefix of its write ids.
 */
export const initialState = (operation: Operation, invocation: string): CommandState => ({
  operation,
  invocation,
  pending: null,
  nextWriteSequence: 1,
  readFailures: 0,
  conflicts: 0,
});

const print = (outputs: readonly Output[]): readonly CommandEffect[] =>
  outputs
    .filter(({ text }) => text !== "")
    .map(({ stream, text }) => ({ type: "text/print", stream, text }));

const finish = ({ outputs, exitCode }: Finish): readonly CommandEffect[] => [
  ...print(outputs),
  { type: "command/exit", exitCode },
];

const read = (state: CommandState): readonly CommandEffect[] => [
  {
    type: "table/read",
    ranges: state.operation.prefixes.map((prefix) => ({ prefix, afterVersion: tableVersion(0) })),
  },
];

const retryDelayMs = (failures: number): number =>
  Math.min(COMMAND.RETRY_MIN_MS * 2 ** (failures - 1), COMMAND.RETRY_MAX_MS);

const scheduleRetry = (failures: number): readonly CommandEffect[] => [
  { type: "timer/start", delayMs: retryDelayMs(failures) },
];

const continueWith = (state: CommandState, next: Continue): readonly CommandEffect[] => {
  state.operation = next.operation;
  return next.afterMs > 0
    ? [...print(next.outputs), { type: "timer/start", delayMs: next.afterMs }]
    : [...print(next.outputs), ...read(state)];
};

const applyNext = (state: CommandState, next: Finish | Continue): readonly CommandEffect[] =>
  next.type === "finish" ? finish(next) : continueWith(state, next);

const send = (pending: PendingWrite): readonly CommandEffect[] => {
  pending.sends += 1;
  return [{ type: "table/write", write: pending.write }];
};

const startWrite = (state: CommandState, decision: Write): readonly CommandEffect[] => {
  const id = writeId(`${state.invocation}-${state.nextWriteSequence}`);
  state.nextWriteSequence += 1;
  state.pending = { decision, write: tableWriteOf(decision.rows, id), sends: 0 };
  return send(state.pending);
};

const decide = (state: CommandState, view: TableView, nowMs: number): Decision => {
  try {
    return state.operation.decide(view, nowMs);
  } catch (error) {
    if (error instanceof HeatherferryError) {
      return failed(error.message);
    }
    throw error;
  }
};

const handleRead = (
  state: CommandState,
  view: TableView,
  nowMs: number,
): readonly CommandEffect[] => {
  state.readFailures = 0;
  const decision = decide(state, view, nowMs);
  return decision.type === "write" ? startWrite(state, decision) : applyNext(state, decision);
};

const handleReadFailure = (state: CommandState, reason: string): readonly CommandEffect[] => {
  state.readFailures += 1;
  return state.readFailures < COMMAND.MAX_READ_FAILURES
    ? scheduleRetry(state.readFailures)
    : finish(state.operation.onReadFailure(reason));
};

const handleCommit = (state: CommandState): readonly CommandEffect[] => {
  if (state.pending === null) {
    return [];
  }
  const { committed } = state.pending.decision;
  state.pending = null;
  return applyNext(state, committed);
};

const decideAgain = (state: CommandState, decision: Write): readonly CommandEffect[] => {
  state.pending = null;
  state.operation = decision.conflicted;
  state.conflicts += 1;
  return state.conflicts < COMMAND.MAX_CONFLICTS
    ? read(state)
    : finish(
        failed(
          `The write conflicted with other writers ${state.conflicts} times in a row. ` +
            "Nothing was changed. Run the command again.",
        ),
      );
};

const handleConflict = (
  state: CommandState,
  rows: readonly TableRow[],
): readonly CommandEffect[] => {
  if (state.pending === null) {
    return [];
  }
  return wasCommittedEarlier(state.pending.write.writeId, rows)
    ? handleCommit(state)
    : decideAgain(state, state.pending.decision);
};

const handleMissingReply = (state: CommandState, reason: string): readonly CommandEffect[] => {
  if (state.pending === null) {
    return [];
  }
  const { sends, decision } = state.pending;
  return sends < COMMAND.MAX_SENDS
    ? scheduleRetry(sends)
    : finish(
        failed(`${reason}\nThe platform did not answer any of ${sends} sends. ${decision.unknown}`),
      );
};

/**
 * Reducer of a command: updates the state for an event and returns the effects to run.
 *
 * @param state - State of the command; updated in place.
 * @param event - Event to handle.
 */
export const reduce = (state: CommandState, event: CommandEvent): readonly CommandEffect[] => {
  switch (event.type) {
    case "command/started":
      return read(state);
    case "table/readCompleted":
      return handleRead(state, event.view, event.atMs);
    case "table/readFailed":
      return handleReadFailure(state, event.reason);
    case "table/writeCommitted":
      return handleCommit(state);
    case "table/writeConflicted":
      return handleConflict(state, event.rows);
    case "table/writeUnanswered":
      return handleMissingReply(state, event.reason);
    case "timer/elapsed":
      return state.pending === null ? read(state) : send(state.pending);
    default:
      return assertNever(event);
  }
};
