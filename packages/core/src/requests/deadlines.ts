import type { RequestId } from "@heatherferry/common";
import type { State } from "../state.js";
import { REQUEST } from "./constants.js";
import type { RequestRecord } from "./types.js";

const bucketOf = (atMs: number): number => Math.ceil(atMs / REQUEST.DEADLINE_BUCKET_MS);

/**
 * Registers a request for the check of its deadline.
 *
 * @param state - The state to change.
 * @param record - A new request.
 */
export const watchDeadline = (state: State, record: RequestRecord): void => {
  const { deadlines, nextDeadlineBucket } = state.requests;
  const bucket = Math.max(nextDeadlineBucket, bucketOf(record.deadlineAtMs));
  const watched = deadlines.get(bucket);
  if (watched === undefined) {
    deadlines.set(bucket, [record.requestId]);
  } else {
    watched.push(record.requestId);
  }
};

/**
 * Removes and returns the requests whose deadline has passed, including any that have ended.
 *
 * @param state - The state to change.
 * @returns The ids of the requests.
 */
export const takeExpired = (state: State): readonly RequestId[] => {
  const { requests } = state;
  const lastBucket = Math.floor(state.nowMs / REQUEST.DEADLINE_BUCKET_MS);
  if (requests.deadlines.size === 0) {
    requests.nextDeadlineBucket = Math.max(requests.nextDeadlineBucket, lastBucket + 1);
    return [];
  }
  const expired: RequestId[] = [];
  for (; requests.nextDeadlineBucket <= lastBucket; requests.nextDeadlineBucket += 1) {
    const watched = requests.deadlines.get(requests.nextDeadlineBucket) ?? [];
    requests.deadlines.delete(requests.nextDeadlineBucket);
    watched.forEach((requestId) => expired.push(requestId));
  }
  return expired;
};
