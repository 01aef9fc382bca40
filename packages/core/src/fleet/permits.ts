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

/** The data on which the permit for a host is decided. */
export interface PoolView {
  readonly rule: PoolRule | undefined;
  readonly hosts: readonly HostRow[];
  readonly budget: PoolBudgetRow;
}

/**
 * Returns the budget row of a pool without absences.
 *
 * @param pool - A pool.
 */
export const emptyBudget = (pool: PoolId): PoolBudgetRow => ({
  type: "poolBudget",
  pool,
  permits: [],
  absent: [],
});

/**
 * Returns the pool's budget row from the mirror, or an empty one.
 *
 * @param state - The state to read.
 * @param pool - A pool.
 */
export const budgetOf = (state: State, pool: PoolId): PoolBudgetRow =>
  mirroredRow(state, budgetKey(pool), "poolBudget")?.body ?? emptyBudget(pool);

const rowsOf = (state: State, hostIds: Iterable<HostId>): readonly HostRow[] => {
  const hosts: HostRow[] = [];
  for (const hostId of hostIds) {
    const host = state.fleet.hosts.get(hostId);
    if (host !== undefined) {
      hosts.push(host);
    }
  }
  return hosts;
};

/**
 * Returns the rows of the pool's hosts.
 *
 * @param state - The state to read.
 * @param pool - A pool.
 */
export const hostsOfPool = (state: State, pool: PoolId): readonly HostRow[] =>
  rowsOf(state, state.fleet.hostsByPool.get(pool) ?? []);

/**
 * Returns the rows of the pool's hosts that are draining or stopped.
 *
 * @param state - The state to read.
 * @param pool - A pool.
 */
export const hostsOutOfService = (state: State, pool: PoolId): readonly HostRow[] =>
  rowsOf(state, state.fleet.outOfServiceByPool.get(pool) ?? []);

/**
 * Returns the data on which permits for hosts of the pool are decided.
 *
 * @param state - The state to read.
 * @param pool - A pool.
 */
export const poolViewOf = (state: State, pool: PoolId): PoolView => ({
  rule: state.revisions.rules.pools.get(pool),
  hosts: hostsOfPool(state, pool),
  budget: budgetOf(state, pool),
});

/**
 * Returns the hosts of a pool that are out of service, whether planned or unplanned.
 *
 * @param budget - The pool's budget row.
 */
export const unavailableHosts = (budget: PoolBudgetRow): ReadonlySet<HostId> =>
  new Set([...budget.permits, ...budget.absent].map(({ hostId }) => hostId));

const countUnavailableInRack = (budget: PoolBudgetRow, rack: string): number =>
  new Set(
    [...budget.permits, ...budget.absent]
      .filter((absence) => absence.rack === rack)
      .map(({ hostId }) => hostId),
  ).size;

const countOthersInZone = (
  view: PoolView,
  host: HostRow,
  unavailable: ReadonlySet<HostId>,
): number =>
  view.hosts.filter(
    ({ hostId, availabilityZone }) =>
      availabilityZone === host.availabilityZone &&
      hostId !== host.hostId &&
      !unavailable.has(hostId),
  ).length;

/**
 * Decides whether a host may be taken out of service for planned maintenance.
 *
 * @param view - The current data of the host's pool.
 * @param host - A host of the pool.
 * @returns The reason for a refusal, or null when the host may be taken out.
 */
export const permitRefusal = (view: PoolView, host: HostRow): PermitRefusal | null => {
  const { rule, budget } = view;
  if (host.phase !== HOST_PHASE.IN_SERVICE) {
    return PERMIT_REFUSAL.ALREADY_OUT;
  }
  if (rule === undefined) {
    return PERMIT_REFUSAL.NO_POOL_RULE;
  }
  const unavailable = unavailableHosts(budget);
  if (unavailable.has(host.hostId)) {
    return null;
  }
  if (unavailable.size >= rule.maxUnavailable) {
    return PERMIT_REFUSAL.POOL_BUDGET_SPENT;
  }
  if (countUnavailableInRack(budget, host.rack) >= rule.maxUnavailablePerRack) {
    return PERMIT_REFUSAL.RACK_BUDGET_SPENT;
  }
  return countOthersInZone(view, host, unavailable) === 0 ? PERMIT_REFUSAL.LAST_IN_ZONE : null;
};

const addAbsence = (
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
 * Begins the drain of a host.
 *
 * @param host - A host in service.
 * @param budget - The budget row of its pool.
 * @param reason - Why it is drained; a host that the platform withdraws counts as unplanned.
 * @param waveId - The wave that takes it out of service, if any.
 * @returns Both rows after the change; the caller must write them in one transaction.
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
  budget: addAbsence(host, budget, reason, waveId),
});

/**
 * Puts a host back in service and removes its permit and its unplanned absence.
 *
 * @param host - A host that is out of service.
 * @param budget - The budget row of its pool.
 * @returns Both rows after the change; the caller must write them in one transaction.
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
 * @returns The reason for a refusal, or null when the host may be put back.
 */
export const undrainRefusal = (host: HostRow, wave: WaveRow | null): UndrainRefusal | null => {
  if (host.phase === HOST_PHASE.IN_SERVICE) {
    return UNDRAIN_REFUSAL.IN_SERVICE;
  }
  const isStopped = host.phase === HOST_PHASE.STOPPED;
  const hasFailed = wave?.failed.includes(host.hostId) ?? false;
  if (isStopped && host.drainReason === DRAIN_REASON.WAVE && !hasFailed) {
    return UNDRAIN_REFUSAL.BEING_MAINTAINED;
  }
  return null;
};
