import type { Effect } from "../effect.js";
import { ROW_PREFIX } from "../platform/constants.js";
import type { WriteOutcome } from "../platform/types.js";
import { rowKeyOf, submitWrite } from "../platform/writes.js";
import { queueRequest } from "../requests/admission.js";
import { REFUSAL_KIND, REQUEST } from "../requests/constants.js";
import { notRunRefusal, refuse, unknownRefusal } from "../requests/refusals.js";
import type { RequestRecord } from "../requests/types.js";
import type { State } from "../state.js";
import { TICKETS, WORK_STATE } from "./constants.js";
import { forwardTo } from "./forwards.js";
import type { ClaimRequest, ClaimRow } from "./types.js";
import { endWithdrawnWork } from "./workRecords.js";

/**
 * Queues the claim of an idempotency key, to be written to the table.
 *
 * @param state - The state to update.
 * @param record - The request that is to run the work.
 * @param idempotencyKey - The caller's idempotency key.
 * @param forwarded - Whether another entry host forwarded the request.
 */
export const queueClaim = (
  state: State,
  record: RequestRecord,
  idempotencyKey: string,
  forwarded: boolean,
): void => {
  const { entryHostId, incarnation } = state.node.identity;
  const { team, deadlineAtMs } = record;
  const row: ClaimRow = { type: "claim", team, idempotencyKey, entryHostId, incarnation };
  const key = rowKeyOf(ROW_PREFIX.CLAIM, team, "/", idempotencyKey);
  state.tickets.claimsWaiting.push({ key, row, deadlineAtMs, forwarded });
};

/**
 * Writes the waiting claims in one transaction, up to its maximum size. Only one is in flight at a
 * time; claims that arrive meanwhile go into the next one.
 *
 * @param state - The state to update.
 * @param effects - Receives the write.
 */
export const sendClaims = (state: State, effects: Effect[]): void => {
  const { tickets } = state;
  if (tickets.claimsInFlight.length > 0 || tickets.claimsWaiting.length === 0) {
    return;
  }
  const claims = tickets.claimsWaiting.splice(0, TICKETS.MAX_CLAIMS_PER_WRITE);
  tickets.claimsInFlight = claims;
  const puts = claims.map(({ key, row }) => ({ key, body: row }));
  const giveUpAtMs = Math.min(...claims.map(({ deadlineAtMs }) => deadlineAtMs));
  submitWrite(state, { purpose: "claim", puts, giveUpAtMs }, effects);
};

/** The request that still waits for the claim; null if it has ended. */
const claimingRecord = (state: State, { key }: ClaimRequest): RequestRecord | null => {
  const work = state.tickets.workRecords.get(key);
  if (work?.state !== WORK_STATE.CLAIMING) {
    return null;
  }
  return state.requests.records.get(work.requestId) ?? null;
};

const startClaimedWork = (state: State, claim: ClaimRequest): void => {
  const record = claimingRecord(state, claim);
  const work = state.tickets.workRecords.get(claim.key);
  if (record !== null && work !== undefined) {
    work.state = WORK_STATE.RUNNING;
    queueRequest(state, record);
  }
};

/**
 * Handles a claim whose key already has an owner. If the owner is this incarnation and it knows
 * that the work has not run, the work starts. Otherwise the request and its duplicates are
 * forwarded to the owner, or the request is refused.
 */
const resolveOwnedClaim = (
  state: State,
  claim: ClaimRequest,
  owner: ClaimRow,
  effects: Effect[],
): void => {
  const record = claimingRecord(state, claim);
  const work = state.tickets.workRecords.get(claim.key);
  if (record === null || work === undefined) {
    return;
  }
  const isOwn = owner.incarnation === state.node.identity.incarnation;
  if (isOwn && work.knownNotRun) {
    startClaimedWork(state, claim);
    return;
  }
  state.requests.records.delete(record.requestId);
  if (isOwn || claim.forwarded) {
    const kind = isOwn ? REFUSAL_KIND.ANSWER_NOT_KEPT : REFUSAL_KIND.ISSUER_GONE;
    refuse(state, record.requestId, unknownRefusal(kind), effects);
    return;
  }
  const requests = [record.requestId, ...work.waiting];
  endWithdrawnWork(state, record.requestId);
  state.tickets.workRecords.delete(claim.key);
  for (const requestId of requests) {
    forwardTo(state, requestId, owner, record.deadlineAtMs - state.nowMs, effects);
  }
};

const refuseClaim = (state: State, claim: ClaimRequest, effects: Effect[]): void => {
  const record = claimingRecord(state, claim);
  if (record !== null) {
    state.requests.records.delete(record.requestId);
    const refusal = notRunRefusal(REFUSAL_KIND.CLAIM_UNAVAILABLE, REQUEST.MIN_RETRY_AFTER_MS);
    refuse(state, record.requestId, refusal, effects);
  }
};

/** Resolves the claims whose keys are taken, and queues the others of the transaction again. */
const handleClaimConflict = (
  state: State,
  claims: readonly ClaimRequest[],
  outcome: WriteOutcome,
  effects: Effect[],
): void => {
  const owners = new Map(outcome.rows.map((row) => [row.key, row.body]));
  for (const claim of claims) {
    const owner = owners.get(claim.key);
    if (owner?.type === "claim") {
      resolveOwnedClaim(state, claim, owner, effects);
    } else {
      state.tickets.claimsWaiting.push(claim);
    }
  }
};

/**
 * Starts, forwards or refuses the requests whose claims were written.
 *
 * @param state - The state to update.
 * @param outcome - The outcome of the write.
 * @param effects - Receives the effects.
 */
export const handleClaimWriteOutcome = (
  state: State,
  outcome: WriteOutcome,
  effects: Effect[],
): void => {
  const claims = state.tickets.claimsInFlight;
  state.tickets.claimsInFlight = [];
  for (const { key } of claims) {
    // Claims are checked only in the table; keeping them would grow the mirror with every request.
    state.platform.mirror.delete(key);
  }
  switch (outcome.result) {
    case "committed":
      claims.forEach((claim) => {
        startClaimedWork(state, claim);
      });
      break;
    case "conflicted":
      handleClaimConflict(state, claims, outcome, effects);
      break;
    case "unsettled":
      claims.forEach((claim) => {
        refuseClaim(state, claim, effects);
      });
  }
};
