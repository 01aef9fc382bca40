import { catalogAgeMs, applyCatalog } from "./catalog.js";
import {
  endUnlistedEvacuations,
  evacuationRemoved,
  evacuationRequested,
} from "./evacuationRows.js";
import { feedWaitMs } from "../evacuation/index.js";
import { FEED, STORE, CATALOG_VIEW } from "../constants.js";
import type { Feed, Scan, StoreRow, WorkEvent } from "../events.js";
import type { FeedState, OwnedWork } from "../state.js";
import { adoptSubmission } from "../submissions/adoption.js";
import { cancelSubmission } from "../submissions/submissions.js";
import { logLine, roundedMs, validAsOfMs, wakeAfter, type Turn } from "../turn.js";
import { handleWaveRequest } from "../hosts/maintenanceWaves.js";
import {
  registrationRead,
  registrationRemoved,
  registrationsListed,
  registrationsReviewed,
} from "../workers/registrations.js";

/** Whether changes of a table are followed, unlike tables that only a new owner reads. */
export const isFeed = (scan: Scan): scan is Feed => Object.values<Scan>(FEED).includes(scan);

/** Applies a new catalog to what the owner has built from the one before. */
const catalogChanged = (turn: Turn, owned: OwnedWork): void => {
  owned.pools.forEach((pool) => {
    pool.dirty = true;
    pool.backlog.markAllChanged();
  });
  if (owned.active) {
    registrationsReviewed(turn, owned);
  }
};

/**
 * Applies changed rows in the order of their versions.
 *
 * @param previousViewAtMs - When the view before the changes was asked for; null if there was none.
 */
const applyRows = (
  turn: Turn,
  rows: readonly StoreRow[],
  previousViewAtMs: number | null,
): void => {
  const { owned } = turn.work;
  for (const row of rows) {
    switch (row.type) {
      case "catalog":
        if (applyCatalog(turn, row.catalog) && owned !== null) {
          catalogChanged(turn, owned);
        }
        break;
      case "wave":
        handleWaveRequest(turn, row.request);
        break;
      case "evacuation":
        evacuationRequested(turn, row.zone, row.version, previousViewAtMs);
        break;
      case "evacuationRemoved":
        evacuationRemoved(turn, row.zone, row.version);
        break;
      case "worker":
        if (owned?.active === true) {
          registrationRead(turn, owned, row.report);
        }
        break;
      case "workerGone":
        if (owned?.active === true) {
          registrationRemoved(turn, owned, row.id);
        }
        break;
      case "handIn":
        adoptSubmission(
          turn,
          row.submission,
          row.version,
          row.version <= (owned?.acquiredVersion ?? 0),
        );
        break;
      case "cancel":
        cancelSubmission(turn, row.id);
        break;
      default:
        break;
    }
  }
};

/** Records that the store has answered, and logs when it is reachable again. */
export const storeAnswered = (turn: Turn): void => {
  turn.work.storeAnsweredAtMs = turn.nowMs;
  if (turn.work.storeLost) {
    turn.work.storeLost = false;
    logLine(turn, "info", "store.regained", {});
  }
};

/** Applies the changes of a feed. An answer to an earlier request is discarded. */
export const feedAnswered = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/feedAnswered" }>,
): void => {
  const feed = turn.work.feeds[event.feed];
  if (feed.sentAtMs !== event.sentAtMs || feed.after === null) {
    return;
  }
  const previousViewAtMs = feed.viewAtMs;
  feed.sentAtMs = null;
  feed.after = event.version;
  feed.viewAtMs = validAsOfMs(turn, event.sentAtMs);
  feed.viewStoreMs = event.storeMs;
  applyRows(turn, event.rows, previousViewAtMs);
  const gapMs = event.rows.length === 0 ? 0 : STORE.FEED_GAP_MS[event.feed];
  feed.retryAtMs = turn.nowMs + gapMs;
  if (gapMs > 0) {
    wakeAfter(turn, gapMs);
  }
};

/** Schedules the retry of a feed, or a full read if the store has dropped its history. */
export const feedFailed = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/feedFailed" }>,
): void => {
  const feed = turn.work.feeds[event.feed];
  if (feed.sentAtMs !== event.sentAtMs) {
    return;
  }
  feed.sentAtMs = null;
  feed.retryAtMs = turn.nowMs + STORE.FEED_RETRY_MS;
  logLine(turn, "warn", "feed.failed", {
    feed: event.feed,
    historyLost: event.historyLost,
    after: Number(feed.after ?? 0),
    reason: event.reason,
  });
  if (event.historyLost) {
    feed.after = null;
  }
};

/** Applies all rows of a feed's table, read at the start or after the feed's history was lost. */
export const feedScanned = (
  turn: Turn,
  event: Extract<WorkEvent, { type: "store/scanned" }>,
  name: Feed,
): void => {
  const feed = turn.work.feeds[name];
  const previousViewAtMs = feed.viewAtMs;
  feed.scanning = false;
  feed.after = event.version;
  feed.viewAtMs = validAsOfMs(turn, event.sentAtMs);
  feed.viewStoreMs = event.storeMs;
  feed.retryAtMs = turn.nowMs;
  if (name === FEED.WORKERS) {
    removeMissingWorkers(turn, event.rows);
  } else if (name === FEED.OPERATORS) {
    endUnlistedEvacuations(turn, event.rows);
  }
  applyRows(turn, event.rows, previousViewAtMs);
};

const removeMissingWorkers = (turn: Turn, rows: readonly StoreRow[]): void => {
  const { owned } = turn.work;
  if (owned !== null) {
    const listed = rows.flatMap((row) => (row.type === "worker" ? [row.report.id] : []));
    registrationsListed(turn, owned, new Set(listed));
  }
};

/** Returns how long a feed waits for a change. */
const feedWaitOf = (turn: Turn, name: Feed): number =>
  name === FEED.OPERATORS
    ? feedWaitMs(turn.work.bounds.evacuationMs, catalogAgeMs(turn), STORE.FEED_WAIT_MS)
    : STORE.FEED_WAIT_MS;

const requestChanges = (turn: Turn, name: Feed, feed: FeedState): void => {
  if (feed.sentAtMs !== null || feed.scanning || turn.nowMs < feed.retryAtMs) {
    return;
  }
  if (feed.after === null) {
    feed.scanning = true;
    turn.effects.push({ type: "store/scan", scan: name });
    return;
  }
  feed.sentAtMs = turn.nowMs;
  turn.effects.push({
    type: "store/feed",
    feed: name,
    after: feed.after,
    waitMs: feedWaitOf(turn, name),
    sentAtMs: turn.nowMs,
  });
};

/** Requests changes of the feeds that this node follows, and detects loss of the store. */
export const tickFeeds = (turn: Turn): void => {
  const { work, nowMs } = turn;
  requestChanges(turn, FEED.OPERATORS, work.feeds.operators);
  if (work.owned?.active === true) {
    requestChanges(turn, FEED.WORKERS, work.feeds.workers);
    requestChanges(turn, FEED.SUBMISSIONS, work.feeds.handIns);
  }
  const silentMs = nowMs - (work.storeAnsweredAtMs ?? -Infinity);
  if (!work.storeLost && silentMs > STORE.LOST_MS) {
    work.storeLost = true;
    logLine(turn, "warn", "store.lost", { silentMs: roundedMs(silentMs) });
  }
  updateReadiness(turn);
};

const updateReadiness = (turn: Turn): void => {
  const { work } = turn;
  const ageMs = catalogAgeMs(turn);
  const ready =
    work.catalog !== null &&
    ageMs <= CATALOG_VIEW.MAX_READY_AGE_MS &&
    work.shutdownRequestedAtMs === null;
  if (ready !== work.ready) {
    work.ready = ready;
    turn.effects.push({ type: "node/readiness", ready });
    logLine(turn, "info", "node.readiness", {
      ready,
      viewAgeMs: roundedMs(ageMs),
      leaving: work.shutdownRequestedAtMs !== null,
    });
  }
};
