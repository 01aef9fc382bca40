import { assertNever, HeatherferryError, tableVersion, writeId } from "@heatherferry/common";
import type { TableRow } from "@heatherferry/core";
import { COMMAND } from "../constants.js";
import { failed } from "../operation/decisions.js";
import type { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import { tableWriteOf, tookEffectEarlier } from "../operation/tableWrite.js";
import type { Continue, Decision, Finish, Output, Write } from "../operation/types.js";
import type { CommandEffect, CommandEvent, CommandState, PendingWrite } from "./types.js";

/**
 * @param operation - The command's first step.
 * @param invocation - Unique to this run; write ids begin with it.
 * @returns The state before the first event.
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

const waitToRetry = (failures: number): readonly CommandEffect[] => [
  { type: "timer/start", delayMs: retryDelayMs(failures) },
];

const proceed = (state: CommandState, next: Continue): readonly CommandEffect[] => {
  state.operation = next.operation;
  return next.afterMs > 0
    ? [...print(next.outputs), { type: "timer/start", delayMs: next.afterMs }]
    : [...print(next.outputs), ...read(state)];
};

const follow = (state: CommandState, next: Finish | Continue): readonly CommandEffect[] =>
  next.type === "finish" ? finish(next) : proceed(state, next);

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

const onRead = (state: CommandState, view: TableView, nowMs: number): readonly CommandEffect[] => {
  state.readFailures = 0;
  const decision = decide(state, view, nowMs);
  return decision.type === "write" ? startWrite(state, decision) : follow(state, decision);
};

const onReadFailed = (state: CommandState, reason: string): readonly CommandEffect[] => {
  state.readFailures += 1;
  return state.readFailures < COMMAND.MAX_READ_FAILURES
    ? waitToRetry(state.readFailures)
    : finish(state.operation.whenUnreadable(reason));
};

const onCommitted = (state: CommandState): readonly CommandEffect[] => {
  if (state.pending === null) {
    return [];
  }
  const { committed } = state.pending.decision;
  state.pending = null;
  return follow(state, committed);
};

const decideAnew = (state: CommandState, decision: Write): readonly CommandEffect[] => {
  state.pending = null;
  state.operation = decision.conflicted;
  state.conflicts += 1;
  return state.conflicts < COMMAND.MAX_CONFLICTS
    ? read(state)
    : finish(
        failed(
          `Other writers were first ${state.conflicts} times in a row. Nothing was changed. ` +
            "Run the command again.",
        ),
      );
};

const onConflicted = (state: CommandState, rows: readonly TableRow[]): readonly CommandEffect[] => {
  if (state.pending === null) {
    return [];
  }
  return tookEffectEarlier(state.pending.write.writeId, rows)
    ? onCommitted(state)
    : decideAnew(state, state.pending.decision);
};

const onUnanswered = (state: CommandState, reason: string): readonly CommandEffect[] => {
  if (state.pending === null) {
    return [];
  }
  const { sends, decision } = state.pending;
  return sends < COMMAND.MAX_SENDS
    ? waitToRetry(sends)
    : finish(failed(`${reason}\nNo answer to ${sends} sends. ${decision.unknown}`));
};

/**
 * The one place where a command's next step is decided.
 *
 * @param state - The command's state; updated in place.
 * @param event - What happened.
 * @returns What to do now.
 */
export const reduce = (state: CommandState, event: CommandEvent): readonly CommandEffect[] => {
  switch (event.type) {
    case "command/started":
      return read(state);
    case "table/readCompleted":
      return onRead(state, event.view, event.atMs);
    case "table/readFailed":
      return onReadFailed(state, event.reason);
    case "table/writeCommitted":
      return onCommitted(state);
    case "table/writeConflicted":
      return onConflicted(state, event.rows);
    case "table/writeUnanswered":
      return onUnanswered(state, event.reason);
    case "timer/elapsed":
      return state.pending === null ? read(state) : send(state.pending);
    default:
      return assertNever(event);
  }
};
