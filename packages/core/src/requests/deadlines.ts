import type { RequestId } from "@heatherferry/common";
import type { State } from "../state.js";
import { REQUEST } from "./constants.js";
import type { RequestRecord } from "./types.js";

const spanOf = (atMs: number): number => Math.ceil(atMs / REQUEST.DEADLINE_SPAN_MS);

/**
 * @param state - The state to change.
 * @param record - A new request.
 */
export const watchDeadline = (state: State, record: RequestRecord): void => {
  const { deadlines, nextDeadlineSpan } = state.requests;
  const span = Math.max(nextDeadlineSpan, spanOf(record.deadlineAtMs));
  const watched = deadlines.get(span);
  if (watched === undefined) {
    deadlines.set(span, [record.requestId]);
  } else {
    watched.push(record.requestId);
  }
};

/**
 * Takes out the requests whose deadline passed; ended ones may be among them.
 *
 * @param state - The state to change.
 * @returns Ids of the requests.
 */
export const takeExpired = (state: State): readonly RequestId[] => {
  const { requests } = state;
  const endSpan = Math.floor(state.nowMs / REQUEST.DEADLINE_SPAN_MS);
  if (requests.deadlines.size === 0) {
    requests.nextDeadlineSpan = Math.max(requests.nextDeadlineSpan, endSpan + 1);
    return [];
  }
  const expired: RequestId[] = [];
  for (; requests.nextDeadlineSpan <= endSpan; requests.nextDeadlineSpan += 1) {
    const watched = requests.deadlines.get(requests.nextDeadlineSpan) ?? [];
    requests.deadlines.delete(requests.nextDeadlineSpan);
    watched.forEach((requestId) => expired.push(requestId));
  }
  return expired;
};
