import type { TeamId } from "@heatherferry/common";
import { enqueue, teamQueueOf } from "@heatherferry/coordination";
import type { QueueRule } from "@heatherferry/rules";
import { rowKey } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import { viewAgeMs } from "../platform/mirror.js";
import { poolQueue } from "../queues/poolQueues.js";
import { KEYS } from "../revisions/constants.js";
import { targetsOf } from "../routing/targets.js";
import type { State } from "../state.js";
import { settleWithoutRunning, acceptWork, workKeyOf } from "../tickets/admitWork.js";
import { REFUSAL_KIND, REQUEST, REQUEST_PHASE } from "./constants.js";
import { watchDeadline } from "./deadlines.js";
import { expectedWaitMs, notRunRefusal, refuse } from "./refusals.js";
import type { Refusal, RequestArrived, RequestRecord } from "./types.js";

const RULES_HEAD = rowKey(ROW_PREFIX.RULES_HEAD);

/** The part of a request that decides whether it may be queued at all. */
export type RequestHead = Pick<RequestArrived, "queue" | "keyHash">;

interface Admission {
  readonly rule: QueueRule;
  readonly team: TeamId;
}

const isRefusal = (value: TeamId | Admission | Refusal): value is Refusal =>
  typeof value !== "string" && "outcome" in value;

/**
 * Whether keys are honoured: this build must have been able to parse the newest rules that it has
 * read, and its view of the rules must not be too old.
 */
const areKeysCurrent = (state: State, queue: QueueRule): boolean => {
  const maxViewAgeMs = queue.maxViewAgeMs ?? KEYS.MAX_VIEW_AGE_MS;
  const { revision, newestSeenRevision } = state.revisions;
  return viewAgeMs(state, RULES_HEAD) <= maxViewAgeMs && revision === newestSeenRevision;
};

/** Returns the team that the request is charged to, or the refusal where there is none. */
const teamOrRefusal = (state: State, queue: QueueRule, event: RequestHead): TeamId | Refusal => {
  if (event.keyHash === null) {
    return queue.openTeam ?? notRunRefusal(REFUSAL_KIND.NO_KEY, null);
  }
  if (!areKeysCurrent(state, queue)) {
    return queue.openTeam ?? notRunRefusal(REFUSAL_KIND.KEYS_TOO_OLD, KEYS.MAX_VIEW_AGE_MS);
  }
  const holder = state.revisions.keysByHash.get(event.keyHash);
  return holder?.team ?? notRunRefusal(REFUSAL_KIND.UNKNOWN_KEY, null);
};

const admissionOf = (state: State, head: RequestHead): Admission | Refusal => {
  if (state.node.shutdownStartedAtMs !== null) {
    return notRunRefusal(REFUSAL_KIND.LEAVING, REQUEST.MIN_RETRY_AFTER_MS);
  }
  const rule = state.revisions.rules.queues.get(head.queue);
  if (rule === undefined) {
    const kind =
      state.revisions.revision === 0 ? REFUSAL_KIND.NO_RULES : REFUSAL_KIND.UNKNOWN_QUEUE;
    return notRunRefusal(kind, null);
  }
  const team = teamOrRefusal(state, rule, head);
  return isRefusal(team) ? team : { rule, team };
};

/**
 * Whether a request is refused whatever its body holds.
 *
 * @param state - State of the node.
 * @param head - The request.
 */
export const isRefusedByHead = (state: State, head: RequestHead): boolean =>
  isRefusal(admissionOf(state, head));

const refusalBeforeQueueing = (state: State, rule: QueueRule, team: TeamId): Refusal | null => {
  if (targetsOf(state, rule.pool).length === 0) {
    return notRunRefusal(REFUSAL_KIND.NO_TARGET, REQUEST.MAX_RETRY_AFTER_MS);
  }
  const queue = poolQueue(state, rule.pool);
  if (teamQueueOf(queue, team).length >= rule.maxQueued) {
    return notRunRefusal(REFUSAL_KIND.QUEUE_FULL, expectedWaitMs(state, rule.pool, queue));
  }
  return null;
};

const newRecord = (
  state: State,
  event: RequestArrived,
  rule: QueueRule,
  team: TeamId,
): RequestRecord => ({
  requestId: event.requestId,
  queue: rule.queue,
  pool: rule.pool,
  team,
  urgent: rule.urgent,
  idempotent: event.idempotent,
  arrivedAtMs: state.nowMs,
  deadlineAtMs: state.nowMs + Math.min(event.timeoutMs ?? rule.timeoutMs, REQUEST.MAX_TIMEOUT_MS),
  workKey: workKeyOf(event, team),
  phase: REQUEST_PHASE.QUEUED,
  attempts: 0,
  mayHaveRun: false,
  attemptId: null,
  triedHosts: [],
  attached: [],
});

/**
 * Adds a request to the queue of its pool.
 *
 * @param state - The state to change.
 * @param record - The request.
 * @param asUrgent - Whether to queue it with the urgent requests, whatever its rule says.
 */
export const queueRequest = (state: State, record: RequestRecord, asUrgent = false): void => {
  record.phase = REQUEST_PHASE.QUEUED;
  const queue = poolQueue(state, record.pool);
  enqueue(queue, record.team, record.requestId, record.urgent || asUrgent);
  state.queues.poolsToRecheck.add(record.pool);
};

/**
 * Admits a request or refuses it.
 *
 * @param state - The state to change.
 * @param event - The arrival.
 * @param effects - Receives the effects.
 */
export const admitRequest = (state: State, event: RequestArrived, effects: Effect[]): void => {
  state.requests.counters.arrived += 1;
  const refuseAs = (refusal: Refusal): void => {
    refuse(state, event.requestId, refusal, effects);
  };
  const admission = admissionOf(state, event);
  if (isRefusal(admission)) {
    refuseAs(admission);
    return;
  }
  const { rule, team } = admission;
  const record = newRecord(state, event, rule, team);
  const { workKey } = record;
  const timeoutMs = record.deadlineAtMs - state.nowMs;
  if (workKey !== null && settleWithoutRunning(state, event, workKey, timeoutMs, effects)) {
    return;
  }
  const refusal = refusalBeforeQueueing(state, rule, team);
  if (refusal !== null) {
    refuseAs(refusal);
    return;
  }
  state.requests.records.set(record.requestId, record);
  watchDeadline(state, record);
  if (workKey === null || acceptWork(state, event, record, workKey)) {
    queueRequest(state, record);
  }
};
