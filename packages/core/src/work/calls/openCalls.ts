import type { Commit } from "../events.js";
import type { OpenCall, WorkloadState } from "../state.js";

const dueAtMs = ({ answerByMs, retryAtMs }: OpenCall): number =>
  Math.min(answerByMs, retryAtMs ?? Infinity);

/** Adds a call that waits for the store. */
export const addCall = (work: WorkloadState, call: OpenCall): void => {
  work.calls.set(call.arrival.callId, call);
  work.callsDue.set(call, dueAtMs(call));
};

/**
 * Removes a call from the open ones.
 *
 * @returns The call, or undefined if it was not open.
 */
export const closeCall = (work: WorkloadState, callId: string): OpenCall | undefined => {
  const call = work.calls.get(callId);
  if (call !== undefined) {
    work.calls.delete(callId);
    work.callsDue.delete(call);
    if (call.commit !== null) {
      work.callOfCommit.delete(call.commit.commitId);
    }
  }
  return call;
};

/** Records the write that a call waits for, instead of an earlier one. */
export const awaitCommit = (work: WorkloadState, call: OpenCall, commit: Commit): void => {
  if (call.commit !== null) {
    work.callOfCommit.delete(call.commit.commitId);
  }
  call.commit = commit;
  work.callOfCommit.set(commit.commitId, call);
  retryCallAt(work, call, null);
};

/**
 * Sets when the write of a call is retried.
 *
 * @param atMs - Null while the answer to the write is pending.
 */
export const retryCallAt = (work: WorkloadState, call: OpenCall, atMs: number | null): void => {
  call.retryAtMs = atMs;
  work.callsDue.set(call, dueAtMs(call));
};
