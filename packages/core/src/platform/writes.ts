import { rowKey, tableVersion, writeId, type RowKey, type WriteId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { State } from "../state.js";
import { PLATFORM } from "./constants.js";
import type {
  PendingWrite,
  RowBody,
  RowCondition,
  RowPut,
  TableRow,
  TableWrite,
  WritePurpose,
} from "./types.js";

/** A transaction requested by a slice of the state. */
export interface WriteRequest {
  readonly purpose: WritePurpose;
  readonly puts: readonly { readonly key: RowKey; readonly body: RowBody }[];
  /** Rows that must be unchanged since they were mirrored, in addition to those that are put. */
  readonly unchanged?: readonly RowKey[];
  /** After this time the write is not resent but ends as unsettled; null for no such limit. */
  readonly giveUpAtMs: number | null;
}

const nextWriteId = (state: State): WriteId => {
  const { entryHostId, incarnation } = state.node.identity;
  state.platform.nextWriteSequence += 1;
  return writeId(`${entryHostId}/${incarnation}/${state.platform.nextWriteSequence}`);
};

const conditionOf = (state: State, key: RowKey): RowCondition => ({
  key,
  version: state.platform.mirror.get(key)?.version ?? tableVersion(0),
});

const putOf = (state: State, id: WriteId, key: RowKey, body: RowBody): RowPut => {
  const earlier = state.platform.mirror.get(key)?.writeIds ?? [];
  return { key, body, writeIds: [...earlier, id].slice(-PLATFORM.MAX_WRITE_IDS_PER_ROW) };
};

/**
 * Sends a transaction that takes effect only if all its rows are still as mirrored. It is resent
 * until its outcome is known or `giveUpAtMs` has passed. The outcome is reported as a
 * `WriteOutcome`.
 *
 * @param state - The state to change.
 * @param request - What to write.
 * @param effects - Receives the effect.
 * @returns The write id that the outcome refers to.
 */
export const submitWrite = (state: State, request: WriteRequest, effects: Effect[]): WriteId => {
  const id = nextWriteId(state);
  const keys = new Set([...request.puts.map((put) => put.key), ...(request.unchanged ?? [])]);
  const write: TableWrite = {
    writeId: id,
    conditions: [...keys].map((key) => conditionOf(state, key)),
    puts: request.puts.map((put) => putOf(state, id, put.key, put.body)),
  };
  const pending: PendingWrite = {
    write,
    purpose: request.purpose,
    firstSentAtMs: state.nowMs,
    giveUpAtMs: request.giveUpAtMs,
    sends: 1,
    resendAtMs: null,
  };
  state.platform.pendingWrites.set(id, pending);
  effects.push({ type: "table/write", write });
  return id;
};

/**
 * Whether the rows of a conflict show that an earlier send of the write took effect.
 *
 * @param pending - The write.
 * @param rows - The conflicting rows, as they are in the table.
 * @returns True when one of the rows lists the id of the write.
 */
export const hasTakenEffect = (pending: PendingWrite, rows: readonly TableRow[]): boolean =>
  rows.some((row) => row.writeIds.includes(pending.write.writeId));

/**
 * @param sends - Number of times that the write was sent.
 * @returns Delay in ms before it is sent again; it doubles with each send.
 */
export const resendDelayMs = (sends: number): number =>
  Math.min(PLATFORM.RESEND_MAX_MS, PLATFORM.RESEND_MIN_MS * 2 ** (sends - 1));

/**
 * @param parts - Parts of a row key.
 * @returns The concatenated key.
 */
export const rowKeyOf = (...parts: readonly string[]): RowKey => rowKey(parts.join(""));
