import { claimDelayMs, strongestOwnerMilli } from "./claimDelay.js";
import { takeoverMs, termMsOf } from "./ownerTerm.js";
import { noteStoreAnswer } from "../calls/storeReach.js";
import { OWNERSHIP } from "../constants.js";
import { logAbandonedRuns } from "../workers/abandonedRunLog.js";
import { newOwnedWork } from "./newOwnedWork.js";
import { inheritedHostOrders } from "../hosts/hosts.js";
import type { StoreRow, WorkEvent } from "../events.js";
import type { Claim, OwnedWork, WorkloadState } from "../state.js";
import { logLine, roundedMs, newCommitId, validAsOfMs, type Turn } from "../turn.js";
import { fence, storeVersion, type OwnerRow, type StoreVersion } from "../types.js";

type OwnerStoreRow = Extract<StoreRow, { type: "owner" }>;

const isOwnRow = (work: WorkloadState, row: OwnerRow): boolean =>
  row.holder === work.identity.holder && row.incarnation === work.identity.incarnation;

/**
 * Whether the owner row names this node. The row may date from an earlier incarnation of the node,
 * or from an unanswered claim of this one.
 */
const isOwnHolder = (work: WorkloadState, row: OwnerRow): boolean =>
  row.holder === work.identity.holder;

const findOwnerRow = (rows: readonly StoreRow[]): OwnerStoreRow | null =>
  rows.find((row): row is OwnerStoreRow => row.type === "owner") ?? null;

/** Applies a poll of the owner row, and claims ownership if it is free. */
export const ownerScanned = (
  turn: Turn,
  { rows, sentAtMs, storeMs }: Extract<WorkEvent, { type: "store/scanned" }>,
): void => {
  const { work, nowMs } = turn;
  const view = work.ownerView;
  const row = findOwnerRow(rows);
  view.pollSentAtMs = null;
  view.nextPollAtMs = nowMs + OWNERSHIP.POLL_MS;
  view.viewAtMs = validAsOfMs(turn, sentAtMs);
  view.viewStoreMs = storeMs;
  noteStoreAnswer(work, nowMs - sentAtMs);
  const version = row?.version ?? storeVersion(0);
  if (view.row === null || version !== view.version) {
    if (row !== null && row.owner.holder !== view.row?.holder) {
      logLine(turn, "info", "owner.seen", {
        holder: row.owner.holder,
        fence: Number(row.owner.fence),
        version: Number(version),
        released: row.owner.released,
      });
    }
    view.row = row?.owner ?? null;
    view.version = version;
    view.unchangedSinceMs = nowMs;
  }
  claimIfDue(turn);
};

const mayClaim = (turn: Turn): boolean => {
  const { work, nowMs } = turn;
  const view = work.ownerView;
  if (
    work.owned !== null ||
    work.shutdownRequestedAtMs !== null ||
    nowMs < work.claimsAllowedFromMs ||
    view.claim !== null ||
    work.catalog === null
  ) {
    return false;
  }
  if (view.row === null || view.row.released || isOwnHolder(work, view.row)) {
    return true;
  }
  return nowMs - view.unchangedSinceMs >= takeoverMs(view.row);
};

const claimIfDue = (turn: Turn): void => {
  const { work, nowMs } = turn;
  const view = work.ownerView;
  if (!mayClaim(turn)) {
    view.claimAtMs = null;
    return;
  }
  view.claimAtMs ??= nowMs + claimDelayMs(work);
  if (nowMs < view.claimAtMs) {
    view.nextPollAtMs = view.claimAtMs;
    return;
  }
  view.claimAtMs = null;
  const commitId = newCommitId(work);
  view.claim = {
    commitId,
    sentAtMs: nowMs,
    previousRow: view.row,
    previousRowSinceMs: view.unchangedSinceMs,
  };
  const owner: OwnerRow = {
    holder: work.identity.holder,
    incarnation: work.identity.incarnation,
    fence: fence((view.row?.fence ?? 0) + 1),
    released: false,
    orderedHosts: view.row?.orderedHosts ?? {},
    pending: null,
    strongestMilli: strongestOwnerMilli(work),
    ...(view.row?.held === undefined ? {} : { held: view.row.held }),
    ...(view.row?.storesWindows === true ? { storesWindows: true } : {}),
  };
  logLine(turn, "info", "owner.claiming", {
    fence: Number(owner.fence),
    before: view.row?.holder ?? null,
    released: view.row?.released ?? false,
    silentMs: Math.round(nowMs - view.unchangedSinceMs),
    version: Number(view.version),
  });
  turn.effects.push({
    type: "store/commit",
    commitId,
    conditions: [{ row: { type: "owner" }, version: view.version }],
    writes: [{ type: "owner", owner }],
    removes: [],
  });
};

/** Polls the owner row while another node is the owner; at most one poll is in flight. */
export const tickOwnership = (turn: Turn): void => {
  const view = turn.work.ownerView;
  if (turn.work.owned !== null || view.pollSentAtMs !== null || turn.nowMs < view.nextPollAtMs) {
    return;
  }
  view.pollSentAtMs = turn.nowMs;
  turn.effects.push({ type: "store/scan", scan: "owner" });
};

/** Schedules the next poll of the owner row after a failed one. */
export const ownerScanFailed = (turn: Turn): void => {
  const view = turn.work.ownerView;
  view.pollSentAtMs = null;
  view.nextPollAtMs = turn.nowMs + OWNERSHIP.POLL_MS;
};

/**
 * Handles the result of this node's claim.
 *
 * @returns Whether the settled commit was the claim.
 */
export const claimSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): boolean => {
  const { work } = turn;
  const view = work.ownerView;
  if (view.claim?.commitId !== event.commitId) {
    return false;
  }
  const { claim } = view;
  view.claim = null;
  view.nextPollAtMs = turn.nowMs;
  if (event.result !== "committed" || event.version === null) {
    logLine(turn, "info", "owner.claimLost", { result: event.result, reason: event.reason });
    return true;
  }
  startOwnership(turn, event.version, claim);
  return true;
};

const startOwnership = (turn: Turn, version: StoreVersion, claim: Claim): void => {
  const { work, nowMs } = turn;
  const { previousRow, sentAtMs } = claim;
  const inherited = inheritedHostOrders(turn, previousRow, claim.previousRowSinceMs);
  const confirmedAtMs = validAsOfMs(turn, sentAtMs);
  work.owned = newOwnedWork(nowMs, version, confirmedAtMs, previousRow, inherited);
  for (const feed of [work.feeds.workers, work.feeds.handIns]) {
    feed.after = null;
    feed.sentAtMs = null;
    feed.viewAtMs = null;
    feed.viewStoreMs = null;
    feed.scanning = false;
  }
  logLine(turn, "info", "owner.taken", {
    fence: Number(work.owned.fence),
    version: Number(version),
  });
  for (const scan of work.owned.pendingLoads) {
    turn.effects.push({ type: "store/scan", scan });
  }
};

/**
 * Discards the owner's state, after another node acquired ownership or this one released it.
 *
 * @param reason - Why ownership ended, for the log.
 */
export const endOwnership = (turn: Turn, reason: string): void => {
  const { work } = turn;
  if (work.owned === null) {
    return;
  }
  logAbandonedRuns(turn, work.owned);
  logLine(turn, "warn", "owner.ended", {
    fence: Number(work.owned.fence),
    reason,
    confirmedAgeMs: roundedMs(turn.nowMs - work.owned.confirmedAtMs),
  });
  work.owned = null;
  work.ownerView.row = null;
  work.ownerView.pollSentAtMs = null;
  work.ownerView.nextPollAtMs = turn.nowMs;
};

/**
 * Resolves a conflict of the owner's commit by the current owner row.
 *
 * @param rows - Rows of the failed conditions, as stored now.
 * @param sentAtMs - When the conflicting commit was sent.
 * @returns Whether this node is still the owner.
 */
export const stillOwner = (
  turn: Turn,
  owned: OwnedWork,
  rows: readonly StoreRow[],
  sentAtMs: number,
): boolean => {
  const row = findOwnerRow(rows);
  if (row === null || !isOwnRow(turn.work, row.owner) || row.owner.fence !== owned.fence) {
    endOwnership(turn, "another node acquired ownership");
    return false;
  }
  owned.rowVersion = row.version;
  owned.termMs = termMsOf(row.owner);
  owned.confirmedAtMs = Math.max(owned.confirmedAtMs, validAsOfMs(turn, sentAtMs));
  return true;
};
