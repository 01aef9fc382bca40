import type { HostId } from "@heatherferry/common";
import { HOSTS, UPKEEP_WAVE } from "./constants.js";
import { isOpen } from "./demand.js";
import { listHosts, mayOrderHost } from "./hosts.js";
import { workerOn } from "./hostWorkers.js";
import { poolOf } from "./pools.js";
import type { StoreRow } from "./events.js";
import { isSure } from "./certainty.js";
import { isStandby } from "./catalog.js";
import type { OwnedWork, WaveWork, Worker } from "./state.js";
import { logLine, type Turn } from "./turn.js";
import type { WaveRequest } from "./types.js";
import {
  adoptOut,
  finishReturned,
  isEmptied,
  isKeptFree,
  keepFree,
  orderUpkeep,
  repeatUpkeep,
} from "./upkeep.js";

/** The operators asked for a wave of upkeep. */
export const waveRequested = (turn: Turn, request: WaveRequest): void => {
  if (!turn.work.waveRequests.has(request.wave)) {
    turn.work.waveRequests.set(request.wave, request);
    logLine(turn, "info", "wave.requested", {
      wave: request.wave,
      hosts: request.hosts.length,
      durationMs: request.durationMs,
      mostOut: request.mostOut,
    });
  }
};

const waveOf = (turn: Turn, owned: OwnedWork, request: WaveRequest): WaveWork => {
  let wave = owned.waves.get(request.wave);
  if (wave === undefined) {
    wave = {
      request,
      seenAtMs: turn.nowMs,
      seenWallMs: Math.round(turn.wallMs),
      doneHosts: new Set(),
      dirty: true,
      outHosts: new Map(),
      missingSinceMs: new Map(),
      completed: false,
    };
    owned.waves.set(request.wave, wave);
  }
  return wave;
};

/** Takes what an earlier owner wrote of a wave. */
export const waveReported = (
  turn: Turn,
  owned: OwnedWork,
  report: Extract<StoreRow, { type: "waveReport" }>,
): void => {
  const request = turn.work.waveRequests.get(report.wave);
  if (request !== undefined) {
    const work = waveOf(turn, owned, request);
    work.seenWallMs = Math.min(work.seenWallMs, report.seenWallMs);
    work.seenAtMs = turn.nowMs - Math.max(0, turn.wallMs - work.seenWallMs);
    report.doneHosts.forEach((host) => work.doneHosts.add(host));
  }
};

/** @returns Hosts of the wave that the owner before may just have sent to upkeep. */
const inheritedOut = (turn: Turn, owned: OwnedWork, wave: WaveWork): number =>
  wave.request.hosts.filter(
    (host) =>
      !mayOrderHost(turn, owned, host) && !wave.doneHosts.has(host) && !wave.outHosts.has(host),
  ).length;

/** How much of a wave's time is left over when its workers are emptied in rounds. */
const spareMs = (turn: Turn, owned: OwnedWork, wave: WaveWork, left: readonly HostId[]): number => {
  const { durationMs, mostOut } = wave.request;
  const workers = left.map((host) => workerOn(owned, host)).filter((worker) => worker !== null);
  const rounds = Math.max(1, Math.ceil(workers.length / Math.max(1, mostOut)));
  const lasting = workers.some(({ lastingRuns }) => lastingRuns > 0);
  return (
    wave.seenAtMs +
    durationMs -
    turn.nowMs -
    rounds * (turn.work.bounds.upkeepMs + UPKEEP_WAVE.EMPTYING_MS) -
    (lasting ? UPKEEP_WAVE.LASTING_MS : 0)
  );
};

/** Upkeep of hosts that are off costs nothing, and most hosts are off now and then. */
const canWaitForOffHosts = (turn: Turn): boolean =>
  turn.work.catalog?.pools.some(({ standby }) => standby) === true;

const isLastOpen = (turn: Turn, owned: OwnedWork, worker: Worker): boolean =>
  ![...poolOf(owned, worker.report.pool).workers].some(
    (other) => other !== worker && isOpen(turn, owned, other),
  );

/** A host without a known worker may still run one whose entry is missing. */
const isOff = (turn: Turn, owned: OwnedWork, host: HostId): boolean => {
  const pool = owned.hosts.get(host)?.pool;
  return pool !== undefined && isStandby(turn.work, pool);
};

const runsUnlisted = (owned: OwnedWork, host: HostId): boolean =>
  [...owned.workers.values()].some(({ report, runs }) => report.host === host && runs.size > 0);

/** Frees hosts of a wave and sends them to upkeep, as many at once as the operators allow. */
const advance = (turn: Turn, owned: OwnedWork, wave: WaveWork): void => {
  adoptOut(turn, owned, wave);
  finishReturned(turn, owned, wave);
  repeatUpkeep(turn, owned, wave);
  let slots = wave.request.mostOut - wave.outHosts.size - inheritedOut(turn, owned, wave);
  const left = wave.request.hosts.filter(
    (host) => !wave.doneHosts.has(host) && !wave.outHosts.has(host),
  );
  const waitMs = canWaitForOffHosts(turn) ? spareMs(turn, owned, wave, left) : 0;
  const hurry = waitMs <= UPKEEP_WAVE.MARGIN_MS;
  const chosen = left
    .filter((host) => !owned.moves.has(host) && mayOrderHost(turn, owned, host))
    .map((host) => ({ host, worker: workerOn(owned, host) }))
    .filter(({ host, worker }) =>
      worker === null
        ? isOff(turn, owned, host) || (waitMs <= 0 && !runsUnlisted(owned, host))
        : worker.reservedFor === null
          ? hurry
          : isKeptFree(wave, worker),
    )
    .sort((one, other) => rank(one.worker) - rank(other.worker))
    .slice(0, Math.max(0, slots));
  for (const { host, worker } of chosen) {
    if (worker !== null) {
      const last = worker.reservedFor === null && waitMs > 0 && isLastOpen(turn, owned, worker);
      if (last || !keepFree(turn, owned, wave, worker, waitMs <= 0)) {
        continue;
      }
    }
    const up = owned.hosts.get(host)?.up === true;
    if (up && slots > 0 && (worker === null || isEmptied(owned, worker, waitMs <= 0))) {
      slots -= 1;
      orderUpkeep(turn, owned, wave, host, worker);
    }
  }
  if (left.length === 0 && wave.outHosts.size === 0 && !wave.completed) {
    wave.completed = true;
    wave.dirty = true;
    logLine(turn, "info", "wave.completed", {
      wave: wave.request.wave,
      afterMs: Math.round(turn.nowMs - wave.seenAtMs),
    });
  }
};

/** Hosts that are off or reserved already go first, then those with the least work. */
const rank = (worker: Worker | null): number =>
  worker?.reservedFor === null ? worker.runs.size : -1;

/** A list that is read page by page while hosts move may miss one, so one list does not decide. */
const lapseMissing = (turn: Turn, owned: OwnedWork, wave: WaveWork): void => {
  if (owned.hostListAtMs === null) {
    return;
  }
  for (const host of wave.request.hosts) {
    if (owned.hosts.has(host) || workerOn(owned, host) !== null) {
      wave.missingSinceMs.delete(host);
      continue;
    }
    const sinceMs = wave.missingSinceMs.get(host) ?? turn.nowMs;
    wave.missingSinceMs.set(host, sinceMs);
    const gone = turn.nowMs - sinceMs >= HOSTS.MISSING_MS;
    if (gone && !wave.doneHosts.has(host)) {
      wave.doneHosts.add(host);
      wave.outHosts.delete(host);
      wave.dirty = true;
    }
  }
};

/** Carries waves on; a new owner lets the orders of the one before it end first. */
export const tickWaves = (turn: Turn, owned: OwnedWork): void => {
  if (!isSure(turn, owned)) {
    return;
  }
  for (const request of turn.work.waveRequests.values()) {
    waveOf(turn, owned, request);
  }
  const open = [...owned.waves.values()].filter(({ completed }) => !completed);
  if (open.length === 0) {
    return;
  }
  listHosts(turn, owned, HOSTS.LIST_MS);
  if (owned.hostListAtMs === null) {
    return;
  }
  for (const wave of open) {
    lapseMissing(turn, owned, wave);
    advance(turn, owned, wave);
  }
};
