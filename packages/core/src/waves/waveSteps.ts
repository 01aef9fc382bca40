import { LOG_CLASS, type HostId, type PoolId } from "@heatherferry/common";
import type { WaveRule } from "@heatherferry/rules";
import type { Effect } from "../effect.js";
import { DRAIN_REASON, HOST_PHASE, PERMIT_REFUSAL } from "../fleet/constants.js";
import { drainWrite, type FleetWrite } from "../fleet/fleetWrites.js";
import { waveKey } from "../fleet/keys.js";
import {
  unavailableHosts,
  beginDrain,
  budgetOf,
  endDrain,
  permitRefusal,
  poolViewOf,
  type PoolView,
} from "../fleet/permits.js";
import type { HostRow, PermitRefusal, PoolBudgetRow } from "../fleet/types.js";
import { mirroredRow, tableNowMs } from "../platform/mirror.js";
import type { State } from "../state.js";
import { WAVE, WAVE_STATUS } from "./constants.js";
import type { WaveOrder } from "./waveOrder.js";
import type { WaveRow, WaveStatus } from "./types.js";

const waveWrite = (wave: WaveRow): FleetWrite => ({
  puts: [{ key: waveKey(wave.waveId), body: wave }],
});

const logWave = (
  effects: Effect[],
  level: "info" | "warn" | "error",
  event: string,
  wave: WaveRow,
  extraFields: Readonly<Record<string, string | number>> = {},
): void => {
  const { waveId, planned, done, failed } = wave;
  const counts = { planned: planned.length, done: done.length, failed: failed.length };
  effects.push({
    type: "log/write",
    level,
    event,
    fields: { wave: waveId, ...counts, ...extraFields },
    lineClass: LOG_CLASS.ROUTINE,
  });
};

const createWave = (rule: WaveRule, view: PoolView): FleetWrite | null => {
  const { availabilityZone: zone } = rule;
  const hosts = view.hosts.filter((host) => zone === null || host.availabilityZone === zone);
  if (hosts.length === 0) {
    return null;
  }
  return waveWrite({
    type: "wave",
    waveId: rule.wave,
    status: rule.paused ? WAVE_STATUS.PAUSED : WAVE_STATUS.RUNNING,
    planned: hosts.map(({ hostId }) => hostId).sort(),
    done: [],
    failed: [],
    startedAtMs: null,
  });
};

/** Returns the status that the rule requests; a halted wave runs again after a pause. */
const requestedStatus = (wave: WaveRow, rule: WaveRule): WaveStatus => {
  if (wave.status === WAVE_STATUS.DONE) {
    return wave.status;
  }
  if (rule.paused) {
    return WAVE_STATUS.PAUSED;
  }
  return wave.status === WAVE_STATUS.PAUSED ? WAVE_STATUS.RUNNING : wave.status;
};

const remainingOf = (wave: WaveRow, view: PoolView): readonly HostRow[] => {
  const ended = new Set([...wave.done, ...wave.failed]);
  const planned = new Set(wave.planned);
  return view.hosts.filter(({ hostId }) => planned.has(hostId) && !ended.has(hostId));
};

const grant = (state: State, wave: WaveRow, view: PoolView, host: HostRow): FleetWrite => {
  const rows = beginDrain(host, view.budget, DRAIN_REASON.WAVE, wave.waveId);
  const started = { ...wave, startedAtMs: wave.startedAtMs ?? tableNowMs(state) };
  return { puts: [...drainWrite(rows).puts, ...waveWrite(started).puts] };
};

const recordRefusal = (
  state: State,
  wave: WaveRow,
  refusal: PermitRefusal | null,
  effects: Effect[],
): void => {
  const { lastRefusals } = state.waves;
  if (refusal !== null && lastRefusals.get(wave.waveId) !== refusal) {
    logWave(effects, "info", "wave.permitRefused", wave, { reason: refusal });
  }
  lastRefusals.set(wave.waveId, refusal);
};

const grantNext = (
  state: State,
  wave: WaveRow,
  view: PoolView,
  order: WaveOrder,
  effects: Effect[],
): FleetWrite | null => {
  const unavailable = unavailableHosts(view.budget);
  const available = remainingOf(wave, view).filter(({ hostId }) => !unavailable.has(hostId));
  let refusal: PermitRefusal | null = null;
  for (const host of order.arrange(available)) {
    refusal = permitRefusal(view, host);
    if (refusal === null) {
      return grant(state, wave, view, host);
    }
  }
  recordRefusal(state, wave, refusal, effects);
  return null;
};

const hasWaitExpired = (state: State, wave: WaveRow): boolean => {
  const row = mirroredRow(state, waveKey(wave.waveId), "wave");
  const tableTimeMs = tableNowMs(state);
  if (row === null || tableTimeMs === null) {
    return false;
  }
  return tableTimeMs - row.committedAtMs >= WAVE.MAX_ABSENT_WAIT_MS;
};

const mayFinish = (
  state: State,
  wave: WaveRow,
  remaining: readonly HostRow[],
  budget: PoolBudgetRow,
): boolean => {
  const absent = new Set(budget.absent.map(({ hostId }) => hostId));
  const allAbsent = remaining.every(
    ({ hostId, phase }) => absent.has(hostId) && phase === HOST_PHASE.IN_SERVICE,
  );
  return allAbsent && (remaining.length === 0 || hasWaitExpired(state, wave));
};

/** Completes a wave, and records hosts that have stayed absent as failed. */
const finish = (wave: WaveRow, remaining: readonly HostRow[], effects: Effect[]): FleetWrite => {
  const failed = [...wave.failed, ...remaining.map(({ hostId }) => hostId)];
  const done: WaveRow = { ...wave, status: WAVE_STATUS.DONE, failed };
  logWave(effects, failed.length === 0 ? "info" : "warn", "wave.done", done);
  return waveWrite(done);
};

const runWave = (
  state: State,
  rule: WaveRule,
  wave: WaveRow,
  order: WaveOrder,
  effects: Effect[],
): FleetWrite | null => {
  const budget = budgetOf(state, rule.pool);
  const inProgressCount = budget.permits.filter(
    ({ hostId, waveId }) => waveId === wave.waveId && !wave.failed.includes(hostId),
  ).length;
  if (inProgressCount >= rule.maxParallel) {
    return null;
  }
  // An exhausted budget is the common case, so it is checked before the hosts are read.
  const maxUnavailable = state.revisions.rules.pools.get(rule.pool)?.maxUnavailable ?? 0;
  if (inProgressCount > 0 && unavailableHosts(budget).size >= maxUnavailable) {
    recordRefusal(state, wave, PERMIT_REFUSAL.POOL_BUDGET_SPENT, effects);
    return null;
  }
  const view = poolViewOf(state, rule.pool);
  const remaining = remainingOf(wave, view);
  if (inProgressCount === 0 && mayFinish(state, wave, remaining, budget)) {
    return finish(wave, remaining, effects);
  }
  return grantNext(state, wave, view, order, effects);
};

const nextWriteOf = (
  state: State,
  rule: WaveRule,
  order: WaveOrder,
  effects: Effect[],
): FleetWrite | null => {
  const wave = state.waves.waves.get(rule.wave);
  if (wave === undefined) {
    return createWave(rule, poolViewOf(state, rule.pool));
  }
  const status = requestedStatus(wave, rule);
  if (status !== wave.status) {
    return waveWrite({ ...wave, status });
  }
  const running = status === WAVE_STATUS.RUNNING;
  return running ? runWave(state, rule, wave, order, effects) : null;
};

/**
 * Decides the next transaction for the pool's waves.
 *
 * @param state - The state to change.
 * @param pool - A pool whose lease is held.
 * @param order - The order in which hosts are taken out of service.
 * @param effects - Receives log lines.
 * @returns The transaction, or null when there is nothing to do.
 */
export const nextWaveWrite = (
  state: State,
  pool: PoolId,
  order: WaveOrder,
  effects: Effect[],
): FleetWrite | null => {
  for (const rule of state.revisions.rules.waves.values()) {
    const write = rule.pool === pool ? nextWriteOf(state, rule, order, effects) : null;
    if (write !== null) {
      return write;
    }
  }
  return null;
};

const waveOf = (state: State, host: HostRow): WaveRow | undefined =>
  host.waveId === null ? undefined : state.waves.waves.get(host.waveId);

const addHost = (hosts: readonly HostId[], hostId: HostId): readonly HostId[] =>
  hosts.includes(hostId) ? hosts : [...hosts, hostId];

/**
 * Puts a rebooted host back in service, removes its permit and records the wave's progress.
 *
 * @param state - The state to read.
 * @param host - A host that has come back from its reboot.
 * @returns The transaction.
 */
export const rebootedHostWrite = (state: State, host: HostRow): FleetWrite => {
  const wave = waveOf(state, host);
  const { puts } = drainWrite(endDrain(host, budgetOf(state, host.pool)));
  if (wave === undefined) {
    return { puts };
  }
  const failed = wave.failed.filter((hostId) => hostId !== host.hostId);
  const advanced = { ...wave, failed, done: addHost(wave.done, host.hostId) };
  return { puts: [...puts, ...waveWrite(advanced).puts] };
};

/**
 * Records that a host has failed its reboot, and halts the wave when it has too many failures.
 *
 * @param state - The state to read.
 * @param host - A host that did not come back from its reboot.
 * @param effects - Receives log lines.
 * @returns The transaction, or null when the failure is already recorded.
 */
export const failedHostWrite = (
  state: State,
  host: HostRow,
  effects: Effect[],
): FleetWrite | null => {
  const wave = waveOf(state, host);
  if (wave === undefined || wave.failed.includes(host.hostId)) {
    return null;
  }
  const failed = addHost(wave.failed, host.hostId);
  const allowed = state.revisions.rules.waves.get(wave.waveId)?.maxFailures ?? 0;
  const mustHalt = failed.length > allowed && wave.status === WAVE_STATUS.RUNNING;
  const status = mustHalt ? WAVE_STATUS.HALTED : wave.status;
  const next: WaveRow = { ...wave, failed, status };
  if (mustHalt) {
    logWave(effects, "error", "wave.halted", next, { lastFailed: host.hostId });
  }
  return waveWrite(next);
};
