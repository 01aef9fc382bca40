import type { HostId } from "@heatherferry/common";
import { DueQueue } from "@heatherferry/coordination";
import { OWNERSHIP, SCAN, STORE } from "../constants.js";
import { RunTimeEstimates } from "../estimates/index.js";
import { FleetKinds } from "../placement/fleetKinds.js";
import type { OwnedWork } from "../state.js";
import { newHeldSubmissions } from "../submissions/heldSubmissions.js";
import { fence, type OwnerRow, type StoreVersion } from "../types.js";

/**
 * Returns the state of a node that has just acquired ownership.
 *
 * @param nowMs - Time of the acquisition.
 * @param version - Version of the owner row that acquired it.
 * @param confirmedAtMs - When the commit of that row was sent.
 * @param previousRow - The owner row before; null if there was none.
 * @param inheritedOrders - Hosts that previous owners may have ordered, and when this one may.
 */
export const newOwnedWork = (
  nowMs: number,
  version: StoreVersion,
  confirmedAtMs: number,
  previousRow: OwnerRow | null,
  inheritedOrders: ReadonlyMap<HostId, number>,
): OwnedWork => ({
  fence: fence((previousRow?.fence ?? 0) + 1),
  acquiredAtMs: nowMs,
  acquiredVersion: version,
  rowVersion: version,
  confirmedAtMs,
  termMs: OWNERSHIP.CONFIRMED_MS,
  renewalAge: { longestMs: OWNERSHIP.CONFIRMED_MS, atMs: nowMs },
  pendingLoads: new Set([SCAN.WORKERS, SCAN.SUBMISSIONS, SCAN.PROGRESS, SCAN.LEASES]),
  loadRetries: new Map(),
  active: false,
  releasing: false,
  yielding: false,
  previousYields: previousRow?.yields ?? 0,
  leases: new Map(),
  changedLeases: new Set(),
  unfencedLeases: new Map(),
  withheldItems: new Map(),
  startedOccurrences: new Map(),
  unrecordedStopsPossible: previousRow !== null && !previousRow.released,
  inheritedOrders,
  submissions: new Map(),
  held: newHeldSubmissions(previousRow?.held ?? null),
  runTimes: new RunTimeEstimates(),
  workers: new Map(),
  workerTimers: new DueQueue(),
  changedWorkers: new Set(),
  setAside: new Map(),
  refutedRegistrations: new Set(),
  drainingWorkers: new Set(),
  workersWithUnpersistedEnds: new Set(),
  stoppingRuns: new Set(),
  pools: new Map(),
  teams: new Map(),
  tokenBuckets: new Map(),
  withheldUse: new Map(),
  withheldCharges: new Map(),
  unchargedWithheldItems: new Set(),
  newlyFenced: new Set(),
  dirtySubmissions: new Set(),
  queuedCounts: new Map(),
  scheduledSubmissions: new Set(),
  openItemCount: 0,
  awaitingItemRoom: new Set(),
  idleSubmissions: new Map(),
  starvationCheckedAtMs: nowMs,
  storesWindows: previousRow?.storesWindows === true,
  commitInFlight: null,
  commitRowLimit: STORE.MAX_ROWS,
  commitRetryAtMs: 0,
  commitSentAtMs: nowMs,
  placedAtMs: -Infinity,
  allocatedAtMs: -Infinity,
  needsRenewal: false,
  ordersSent: 0,
  hosts: new Map(),
  fleet: new FleetKinds(),
  workersByHost: new Map(),
  moves: new Map(),
  drains: new Map(),
  hostOrders: new Map(),
  plannedStarts: [],
  startsAwaitingClock: new Set(),
  plannedHostOrders: [],
  hostListReceivedAtMs: null,
  hostListPollSentAtMs: null,
  hostListRequestedAtMs: null,
  waves: new Map(),
  evacuationRecords: new Map(),
  evacuationsReportedAtMs: -Infinity,
  inheritedMaintenance: new Set(),
  demandLoggedAtMs: nowMs,
  abandonedRuns: new Map(),
  nextPurgeAtMs: nowMs,
  purgeCommits: new Map(),
  unmatchedCancels: new Map(),
  purgedSubmissions: new Set(),
  loadedRows: [],
});
