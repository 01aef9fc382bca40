import type { HostId, PoolId, WaveId } from "@heatherferry/common";
import type { PoolRule } from "@heatherferry/rules";
import { mirroredRow } from "../platform/mirror.js";
import type { State } from "../state.js";
import type { WaveRow } from "../waves/types.js";
import { DRAIN_REASON, HOST_PHASE, PERMIT_REFUSAL, UNDRAIN_REFUSAL } from "./constants.js";
import { budgetKey } from "./keys.js";
import type {
  DrainReason,
  DrainRows,
  HostRow,
  PermitRefusal,
  PoolBudgetRow,
  UndrainRefusal,
} from "./types.js";

/** What a permit is decided on. */
export interface PoolView {
  readonly rule: PoolRule | undefined;
  readonly hosts: readonly HostRow[];
  readonly budget: PoolBudgetRow;
}

export const emptyBudget = (pool: PoolId): PoolBudgetRow => ({
  type: "poolBudget",
  pool,
  permits: [],
  absent: [],
});

/**
 * @param state - The state to read.
 * @param pool - A pool.
 * @returns The pool's absences as mirrored.
 */
export const budgetOf = (state: State, pool: PoolId): PoolBudgetRow =>
  mirroredRow(state, budgetKey(pool), "poolBudget")?.body ?? emptyBudget(pool);

/**
 * @param state - The state to read.
 * @param pool - A pool.
 * @returns The rows of the pool's hosts.
 */
export const hostsOfPool = (state: State, pool: PoolId): readonly HostRow[] => {
  const hosts: HostRow[] = [];
  for (const hostId of state.fleet.hostsByPool.get(pool) ?? []) {
    const host = state.fleet.hosts.get(hostId);
    if (host !== undefined) {
      hosts.push(host);
    }
  }
  return hosts;
};

/**
 * @param state - The state to read.
 * @param pool - A pool.
 * @returns What permits of the pool are decided on.
 */
export const poolViewOf = (state: State, pool: PoolId): PoolView => ({
  rule: state.revisions.rules.pools.get(pool),
  hosts: hostsOfPool(state, pool),
  budget: budgetOf(state, pool),
});

/**
 * @param budget - Absences of a pool.
 * @returns The hosts that are out of service, planned or not, each once.
 */
export const absentHosts = (budget: PoolBudgetRow): ReadonlySet<HostId> =>
  new Set([...budget.permits, ...budget.absent].map(({ hostId }) => hostId));

const absentInRack = (budget: PoolBudgetRow, rack: string): number =>
  new Set(
    [...budget.permits, ...budget.absent]
      .filter((absence) => absence.rack === rack)
      .map(({ hostId }) => hostId),
  ).size;

const othersInZone = (view: PoolView, host: HostRow, absent: ReadonlySet<HostId>): number =>
  view.hosts.filter(
    ({ hostId, availabilityZone }) =>
      availabilityZone === host.availabilityZone && hostId !== host.hostId && !absent.has(hostId),
  ).length;

/**
 * Decides whether a host may be taken out of service by plan.
 *
 * @param view - The pool as it stands.
 * @param host - A host of the pool.
 * @returns Why not, or null when it may.
 */
export const permitRefusal = (view: PoolView, host: HostRow): PermitRefusal | null => {
  const { rule, budget } = view;
  if (host.phase !== HOST_PHASE.IN_SERVICE) {
    return PERMIT_REFUSAL.ALREADY_OUT;
  }
  if (rule === undefined) {
    return PERMIT_REFUSAL.NO_POOL_RULE;
  }
  const absent = absentHosts(budget);
  if (absent.has(host.hostId)) {
    return null;
  }
  if (absent.size >= rule.maxUnavailable) {
    return PERMIT_REFUSAL.POOL_BUDGET_SPENT;
  }
  if (absentInRack(budget, host.rack) >= rule.maxUnavailablePerRack) {
    return PERMIT_REFUSAL.RACK_BUDGET_SPENT;
  }
  return othersInZone(view, host, absent) === 0 ? PERMIT_REFUSAL.LAST_IN_ZONE : null;
};

const withAbsence = (
  host: HostRow,
  budget: PoolBudgetRow,
  reason: DrainReason,
  waveId: WaveId | null,
): PoolBudgetRow => {
  const { hostId, rack } = host;
  if (reason === DRAIN_REASON.PLATFORM) {
    const others = budget.absent.filter((absence) => absence.hostId !== hostId);
    return { ...budget, absent: [...others, { hostId, rack }] };
  }
  const others = budget.permits.filter((permit) => permit.hostId !== hostId);
  return { ...budget, permits: [...others, { hostId, rack, waveId }] };
};

/**
 * @param host - A host in service.
 * @param budget - Absences of its pool.
 * @param reason - Why it leaves; one that the platform takes away counts as unplanned.
 * @param waveId - The wave that takes it out, if any.
 * @returns Both rows with the drain begun; they are to be written in one transaction.
 */
export const beginDrain = (
  host: HostRow,
  budget: PoolBudgetRow,
  reason: DrainReason,
  waveId: WaveId | null = null,
): DrainRows => ({
  host: {
    ...host,
    phase: HOST_PHASE.LEAVING,
    drainEpoch: host.drainEpoch + 1,
    drainReason: reason,
    waveId,
  },
  budget: withAbsence(host, budget, reason, waveId),
});

/**
 * @param host - A host that is out of service.
 * @param budget - Absences of its pool.
 * @returns Both rows with the host in service and its permit returned.
 */
export const endDrain = (host: HostRow, budget: PoolBudgetRow): DrainRows => ({
  host: {
    ...host,
    phase: HOST_PHASE.IN_SERVICE,
    drainReason: null,
    moveTo: null,
    waveId: null,
  },
  budget: {
    ...budget,
    permits: budget.permits.filter(({ hostId }) => hostId !== host.hostId),
    absent: budget.absent.filter(({ hostId }) => hostId !== host.hostId),
  },
});

/**
 * Decides whether an operator may put a host back in service.
 *
 * @param host - The host.
 * @param wave - The wave that the host's row names, if any.
 * @returns Why not, or null when it may.
 */
export const undrainRefusal = (host: HostRow, wave: WaveRow | null): UndrainRefusal | null => {
  if (host.phase === HOST_PHASE.IN_SERVICE) {
    return UNDRAIN_REFUSAL.IN_SERVICE;
  }
  const isStopped = host.phase === HOST_PHASE.STOPPED;
  const gaveUp = wave?.failed.includes(host.hostId) ?? false;
  if (isStopped && host.drainReason === DRAIN_REASON.WAVE && !gaveUp) {
    return UNDRAIN_REFUSAL.BEING_MAINTAINED;
  }
  return null;
};
