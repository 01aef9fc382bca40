import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import {
  callCommitSettled,
  callLookedUp,
  callLookUpFailed,
  tickCalls,
} from "./calls/callResults.js";
import { callAbandoned, callArrived } from "./calls/calls.js";
import { detectClockJump } from "./clockJump.js";
import { CLOCK_TICK, SHUTDOWN, OWNERSHIP, SCAN, STORE } from "./constants.js";
import { placeAndAllocate } from "./placement/planning.js";
import type { WorkEvent } from "./events.js";
import {
  feedAnswered,
  feedFailed,
  feedScanned,
  isFeed,
  storeAnswered,
  tickFeeds,
} from "./store/feeds.js";
import { purgeSettled, tickPurge } from "./submissions/purge.js";
import { logAbandonedRuns } from "./workers/abandonedRunLog.js";
import { applyHostList } from "./hosts/hosts.js";
import { ownerCommitSettled, tickOwnerCommit } from "./ownership/ownerCommit.js";
import { clockTicked } from "./loopLag.js";
import { handleMoveAnswer } from "./hosts/hostMoves.js";
import {
  claimSettled,
  endOwnership,
  ownerScanFailed,
  ownerScanned,
  tickOwnership,
} from "./ownership/ownership.js";
import { paceFailed } from "./workers/pacing.js";
import {
  tableLoaded,
  tableLoadFailed,
  retryTableLoads,
  tickRecovery,
} from "./ownership/recovery.js";
import { startAnswered, stopAnswered } from "./workers/orderAnswers.js";
import { resendStops } from "./workers/runs.js";
import { sendAwaitingStarts } from "./placement/starts.js";
import type { OwnedWork, WorkloadState } from "./state.js";
import { checkStarvation } from "./submissions/starvation.js";
import { openWaitingItems } from "./submissions/openItems.js";
import { makeDueOccurrences } from "./submissions/adoption.js";
import { logLine, type Turn } from "./turn.js";
import { handleMaintenanceAnswer } from "./hosts/hostMaintenance.js";
import { tickWorkers } from "./workers/workerPolls.js";
import { workerPolled, workerPollFailed } from "./workers/pollAnswers.js";

/**
 * Whether a scan was requested before this node last acquired ownership: other owners may have
 * changed the rows since.
 */
const isStaleScan = (
  { owned }: WorkloadState,
  { scan, sentAtMs }: Extract<WorkEvent, { type: "store/scanned" }>,
): boolean => scan !== SCAN.OPERATORS && owned !== null && sentAtMs < owned.acquiredAtMs;

const scanned = (turn: Turn, event: Extract<WorkEvent, { type: "store/scanned" }>): void => {
  const { work } = turn;
  if (event.scan === SCAN.OWNER) {
    ownerScanned(turn, event);
  } else if (isStaleScan(work, event)) {
    logLine(turn, "info", "scan.outdated", { scan: event.scan });
  } else if (work.owned?.pendingLoads.has(event.scan) === true) {
    tableLoaded(turn, work.owned, event);
  } else if (isFeed(event.scan) && work.feeds[event.scan].scanning) {
    feedScanned(turn, event, event.scan);
  }
};

const scanFailed = (turn: Turn, event: Extract<WorkEvent, { type: "store/scanFailed" }>): void => {
  const { work } = turn;
  logLine(turn, "warn", "scan.failed", { scan: event.scan, reason: event.reason });
  if (event.scan === SCAN.OWNER) {
    ownerScanFailed(turn);
  } else if (work.owned?.pendingLoads.has(event.scan) === true) {
    tableLoadFailed(turn, work.owned, event.scan);
  } else if (isFeed(event.scan)) {
    const feed = work.feeds[event.scan];
    feed.scanning = false;
    feed.retryAtMs = turn.nowMs + STORE.FEED_RETRY_MS;
  }
};

const commitSettled = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/commitSettled" }>,
): void => {
  if (event.result === "committed" || event.result === "conflicted") {
    storeAnswered(turn);
  }
  const handled =
    ownerCommitSettled(turn, event) ||
    claimSettled(turn, event) ||
    purgeSettled(turn, event) ||
    callCommitSettled(turn, event);
  if (!handled) {
    logLine(turn, "info", "commit.unmatched", { commit: event.commitId, result: event.result });
  }
};

const reduceStoreEvent = (turn: Turn, event: WorkEvent): void => {
  switch (event.type) {
    case "store/scanned":
      storeAnswered(turn);
      scanned(turn, event);
      return;
    case "store/scanFailed":
      scanFailed(turn, event);
      return;
    case "store/feedAnswered":
      storeAnswered(turn);
      feedAnswered(turn, event);
      return;
    case "store/feedFailed":
      feedFailed(turn, event);
      return;
    case "store/commitSettled":
      commitSettled(turn, event);
      return;
    case "store/lookedUp":
      storeAnswered(turn);
      callLookedUp(turn, event);
      return;
    case "store/lookUpFailed":
      callLookUpFailed(turn, event.callId, event.reason);
      return;
    default:
      return;
  }
};

const reduceOwnedEvent = (turn: Turn, owned: OwnedWork, event: WorkEvent): void => {
  switch (event.type) {
    case "worker/startAnswered":
      startAnswered(turn, owned, event);
      return;
    case "worker/stopAnswered":
      stopAnswered(turn, owned, event);
      return;
    case "worker/looked":
      workerPolled(turn, owned, event);
      return;
    case "worker/lookFailed":
      workerPollFailed(turn, owned, event);
      return;
    case "worker/paceFailed":
      paceFailed(turn, owned, event);
      return;
    case "power/listed":
      applyHostList(turn, owned, event);
      return;
    case "power/listFailed":
      logLine(turn, "warn", "hosts.listFailed", { reason: event.reason });
      return;
    case "power/orderAnswered":
      logLine(turn, event.result === "accepted" ? "info" : "warn", "host.orderAnswered", {
        host: event.host,
        result: event.result,
        reason: event.reason,
      });
      handleMaintenanceAnswer(turn, owned, event);
      handleMoveAnswer(turn, owned, event);
      return;
    default:
      return;
  }
};

/** Stands for the last started occurrence where all that have started exist already. */
const NONE_STARTED = -1;

const tickOwned = (turn: Turn, owned: OwnedWork): void => {
  for (const submission of [...owned.scheduledSubmissions]) {
    makeDueOccurrences(turn, owned, submission, NONE_STARTED);
  }
  openWaitingItems(turn, owned);
  resendStops(turn, owned);
  tickPurge(turn, owned);
  logAbandonedRuns(turn, owned);
  checkStarvation(turn, owned);
};

/** Closes the front end and then exits, within the grace period after a shutdown request. */
const tickShutdown = (turn: Turn): void => {
  const { work, nowMs, effects } = turn;
  if (work.shutdownRequestedAtMs === null) {
    return;
  }
  const sinceMs = nowMs - work.shutdownRequestedAtMs;
  if (!work.frontEndClosed && sinceMs >= SHUTDOWN.LISTENER_OPEN_MS && work.owned === null) {
    work.frontEndClosed = true;
    effects.push({ type: "node/closeFront" });
  }
  const graceEnded = sinceMs >= work.bounds.graceMs - SHUTDOWN.EXIT_MARGIN_MS;
  if ((work.frontEndClosed && work.calls.size === 0) || graceEnded) {
    effects.push({ type: "node/exit" });
  }
};

/** Whether periodic work is due; requested ticks come in between and do not run it. */
const isTickDue = ({ work, nowMs }: Turn): boolean => {
  if (nowMs - work.tickedAtMs < CLOCK_TICK.MIN_GAP_MS) {
    return false;
  }
  work.tickedAtMs = nowMs;
  return true;
};

/**
 * Runs what follows from the event or is due by now.
 *
 * @param isTick - Whether the event is a clock tick.
 */
const advance = (turn: Turn, isTick: boolean): void => {
  const { work } = turn;
  const periodic = isTick && isTickDue(turn);
  tickFeeds(turn);
  tickOwnership(turn);
  const { owned } = work;
  if (owned !== null) {
    if (owned.active) {
      if (periodic) {
        tickOwned(turn, owned);
      }
      tickRecovery(turn, owned);
      sendAwaitingStarts(turn, owned);
      tickWorkers(turn, owned);
      placeAndAllocate(turn, owned);
    } else {
      retryTableLoads(turn, owned);
    }
    tickOwnerCommit(turn, owned);
  }
  if (periodic) {
    tickCalls(turn);
    tickShutdown(turn);
  }
};

/**
 * Applies an event to the state of submissions and ownership, which it changes in place.
 *
 * @param work - The state to change.
 * @param event - The event to apply.
 * @param effects - Receives the effects to carry out.
 */
export const reduceWork = (work: WorkloadState, event: Event, effects: Effect[]): void => {
  const offsetMs = work.wallOffsetMs ?? 0;
  const wallMs = "wallMs" in event ? event.wallMs : undefined;
  const turn: Turn = { work, nowMs: event.atMs, wallMs: wallMs ?? event.atMs + offsetMs, effects };
  if (wallMs !== undefined) {
    detectClockJump(turn, wallMs);
  }
  switch (event.type) {
    case "call/arrived":
      callArrived(turn, event);
      break;
    case "call/abandoned":
      callAbandoned(turn, event.callId);
      break;
    case "node/shutdownRequested":
      work.shutdownRequestedAtMs ??= event.atMs;
      break;
    case "node/eventFailed":
      endOwnership(turn, `handling of an event failed: ${event.failedType}`);
      work.claimsAllowedFromMs = turn.nowMs + OWNERSHIP.FAILURE_BACKOFF_MS;
      break;
    case "node/settingsTaken":
      work.bounds = event.bounds;
      work.processorMilli = event.processorMilli;
      break;
    case "clock/ticked":
      clockTicked(turn, event.lateMs);
      break;
    default:
      reduceStoreEvent(turn, event as WorkEvent);
      if (work.owned?.active === true) {
        reduceOwnedEvent(turn, work.owned, event as WorkEvent);
      }
  }
  advance(turn, event.type === "clock/ticked");
};
