import type { HostId } from "@heatherferry/common";
import { HOST_TIMING, WAVE_TIMING } from "../constants.js";
import { isSchedulable } from "./demand.js";
import { requestHostList, mayOrderHost } from "./hosts.js";
import { workerOn } from "./hostWorkers.js";
import { poolOf } from "./pools.js";
import type { StoreRow } from "../events.js";
import { isOwnershipConfirmed } from "../ownership/ownershipConfirmation.js";
import { isStandby } from "../store/catalog.js";
import type { OwnedWork, MaintenanceWave, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { WaveRequest } from "../types.js";
import {
  adoptHostsInMaintenance,
  completeReturnedHosts,
  isInUnknownMaintenance,
  isKnownIdle,
  isReservedForWave,
  reserveForWave,
  orderMaintenance,
  repeatMaintenanceOrders,
} from "./hostMaintenance.js";

/** Stores an operator's request for a maintenance wave. */
export const handleWaveRequest = (turn: Turn, request: WaveRequest): void => {
  if (!turn.work.waveRequests.has(request.wave)) {
    turn.work.waveRequests.set(request.wave, request);
    logLine(turn, "info", "wave.requested", {
      wave: request.wave,
      hosts: request.hosts.length,
      durationMs: request.durationMs,
      mostOut: request.maxHostsOut,
    });
  }
};

const getOrCreateWave = (turn: Turn, owned: OwnedWork, request: WaveRequest): MaintenanceWave => {
  let wave = owned.waves.get(request.wave);
  if (wave === undefined) {
    wave = {
      request,
      seenAtMs: turn.nowMs,
      seenWallMs: Math.round(turn.wallMs),
      doneHosts: new Set(),
      dirty: true,
      hostsInMaintenance: new Map(),
      missingSinceMs: new Map(),
      completed: false,
    };
    owned.waves.set(request.wave, wave);
  }
  return wave;
};

/** Restores the progress of a wave that a previous owner stored. */
export const restoreWave = (
  turn: Turn,
  owned: OwnedWork,
  report: Extract<StoreRow, { type: "waveReport" }>,
): void => {
  const request = turn.work.waveRequests.get(report.wave);
  if (request !== undefined) {
    const wave = getOrCreateWave(turn, owned, request);
    wave.seenWallMs = Math.min(wave.seenWallMs, report.seenWallMs);
    wave.seenAtMs = turn.nowMs - Math.max(0, turn.wallMs - wave.seenWallMs);
    report.doneHosts.forEach((host) => wave.doneHosts.add(host));
    wave.completed = report.completed;
    wave.dirty = false;
  }
};

/** Returns the number of hosts that previous owners may have ordered to maintenance for a wave. */
const inheritedOrderCount = (turn: Turn, owned: OwnedWork, wave: MaintenanceWave): number =>
  wave.request.hosts.filter(
    (host) =>
      (!mayOrderHost(turn, owned, host) || isInUnknownMaintenance(owned, host)) &&
      !wave.doneHosts.has(host) &&
      !wave.hostsInMaintenance.has(host),
  ).length;

/**
 * Returns the time until the wave must begin to drain workers to end before its deadline, if as
 * many hosts as the request allows are in maintenance at once.
 */
const slackMs = (
  turn: Turn,
  owned: OwnedWork,
  wave: MaintenanceWave,
  remaining: readonly HostId[],
): number => {
  const { durationMs, maxHostsOut } = wave.request;
  const workers = remaining
    .map((host) => workerOn(turn, owned, host))
    .filter((worker) => worker !== null);
  const rounds = Math.max(1, Math.ceil(workers.length / Math.max(1, maxHostsOut)));
  const hasLongRunning = workers.some(({ longRunningRuns }) => longRunningRuns > 0);
  return (
    wave.seenAtMs +
    durationMs -
    turn.nowMs -
    rounds * (turn.work.bounds.maintenanceMs + WAVE_TIMING.DRAIN_MS) -
    (hasLongRunning ? WAVE_TIMING.LONG_RUNNING_EVICTION_MS : 0)
  );
};

/**
 * Whether a wave can wait until its hosts are off. Maintenance of a host that is off takes no
 * capacity, and most hosts are off at some time.
 */
const canWaitForOffHosts = (turn: Turn): boolean =>
  turn.work.catalog?.pools.some(({ standby }) => standby) === true;

/** Whether no other worker of a worker's pool can take work. */
const isLastSchedulable = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  ![...poolOf(owned, worker.report.pool).workers].some(
    (other) => other !== worker && isSchedulable(turn, owned, other),
  );

/**
 * Whether a host is known to be off. A host without a known worker may still run one whose
 * registration is missing.
 */
const isOff = (turn: Turn, owned: OwnedWork, host: HostId): boolean => {
  const pool = owned.hosts.get(host)?.pool;
  return pool !== undefined && isStandby(turn.work, pool);
};

const runsOnUnlistedWorker = (owned: OwnedWork, host: HostId): boolean =>
  [...owned.workers.values()].some(({ report, runs }) => report.host === host && runs.size > 0);

/** Drains hosts of a wave and orders them to maintenance, as many at once as the request allows. */
const advanceWave = (turn: Turn, owned: OwnedWork, wave: MaintenanceWave): void => {
  adoptHostsInMaintenance(turn, owned, wave);
  completeReturnedHosts(turn, owned, wave);
  repeatMaintenanceOrders(turn, owned, wave);
  let slots =
    wave.request.maxHostsOut -
    wave.hostsInMaintenance.size -
    inheritedOrderCount(turn, owned, wave);
  const remaining = wave.request.hosts.filter(
    (host) => !wave.doneHosts.has(host) && !wave.hostsInMaintenance.has(host),
  );
  const slackLeftMs = canWaitForOffHosts(turn) ? slackMs(turn, owned, wave, remaining) : 0;
  const mustDrainBusy = slackLeftMs <= WAVE_TIMING.DEADLINE_MARGIN_MS;
  const candidates = remaining
    .filter((host) => !owned.moves.has(host) && mayOrderHost(turn, owned, host))
    .map((host) => ({ host, worker: workerOn(turn, owned, host) }))
    .filter(({ host, worker }) =>
      worker === null
        ? isOff(turn, owned, host) || (slackLeftMs <= 0 && !runsOnUnlistedWorker(owned, host))
        : worker.reservedFor === null
          ? mustDrainBusy
          : isReservedForWave(wave, worker),
    )
    .sort((one, other) => rank(one.worker) - rank(other.worker))
    .slice(0, Math.max(0, slots));
  for (const { host, worker } of candidates) {
    if (worker !== null) {
      const keepsPoolOpen =
        worker.reservedFor === null && slackLeftMs > 0 && isLastSchedulable(turn, owned, worker);
      if (keepsPoolOpen || !reserveForWave(turn, owned, wave, worker, slackLeftMs <= 0)) {
        continue;
      }
    }
    const up = owned.hosts.get(host)?.up === true;
    if (up && slots > 0 && (worker === null || isKnownIdle(owned, worker, slackLeftMs <= 0))) {
      slots -= 1;
      orderMaintenance(turn, owned, wave, host, worker);
    }
  }
  if (remaining.length === 0 && wave.hostsInMaintenance.size === 0 && !wave.completed) {
    wave.completed = true;
    wave.dirty = true;
    logLine(turn, "info", "wave.completed", {
      wave: wave.request.wave,
      afterMs: Math.round(turn.nowMs - wave.seenAtMs),
    });
  }
};

/** Sort key: hosts that are off or already reserved go first, then those with the fewest runs. */
const rank = (worker: Worker | null): number =>
  worker?.reservedFor === null ? worker.runs.size : -1;

/**
 * Marks hosts that have been removed from the platform as done. A host list is read page by page
 * and may miss a host that moves meanwhile, so a host counts as removed only after
 * `MISSING_TIMEOUT_MS`.
 */
const completeMissing = (turn: Turn, owned: OwnedWork, wave: MaintenanceWave): void => {
  if (owned.hostListReceivedAtMs === null) {
    return;
  }
  for (const host of wave.request.hosts) {
    if (owned.hosts.has(host) || workerOn(turn, owned, host) !== null) {
      wave.missingSinceMs.delete(host);
      continue;
    }
    const sinceMs = wave.missingSinceMs.get(host) ?? turn.nowMs;
    wave.missingSinceMs.set(host, sinceMs);
    const isRemoved = turn.nowMs - sinceMs >= HOST_TIMING.MISSING_TIMEOUT_MS;
    if (isRemoved && !wave.doneHosts.has(host)) {
      wave.doneHosts.add(host);
      wave.hostsInMaintenance.delete(host);
      wave.dirty = true;
    }
  }
};

/**
 * Advances the open waves while ownership is confirmed. Hosts that the previous owner has ordered
 * are left alone until its orders have ended.
 */
export const tickWaves = (turn: Turn, owned: OwnedWork): void => {
  if (!isOwnershipConfirmed(turn, owned)) {
    return;
  }
  for (const request of turn.work.waveRequests.values()) {
    getOrCreateWave(turn, owned, request);
  }
  const open = [...owned.waves.values()].filter(({ completed }) => !completed);
  if (open.length === 0) {
    return;
  }
  requestHostList(turn, owned, HOST_TIMING.WAVE_LIST_INTERVAL_MS);
  if (owned.hostListReceivedAtMs === null) {
    return;
  }
  for (const wave of open) {
    completeMissing(turn, owned, wave);
    advanceWave(turn, owned, wave);
  }
};
