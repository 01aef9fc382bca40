import type { HostId, PoolId } from "@heatherferry/common";
import { HOST_PHASE } from "../fleet/constants.js";
import type { HostRow } from "../fleet/types.js";
import type { TableRow } from "../platform/types.js";
import type { Policies } from "../policies/policies.js";
import type { State } from "../state.js";
import { RETRY_BUDGET, ROUTING } from "./constants.js";
import type { RoutingState, Target } from "./types.js";

/** Returns the routing state before any host row has been read. */
export const initialRouting = (): RoutingState => ({
  targets: new Map(),
  targetsByPool: new Map(),
  retryTokens: RETRY_BUDGET.INITIAL_TOKENS,
  ejections: 0,
});

/**
 * Returns the pool's targets in this zone, including those on draining or stopped hosts.
 *
 * @param state - The state to read.
 * @param pool - A pool.
 */
export const targetsOf = (state: State, pool: PoolId): readonly Target[] =>
  state.routing.targetsByPool.get(pool) ?? [];

const newTarget = (row: HostRow): Target => ({
  hostId: row.hostId,
  rack: row.rack,
  pool: row.pool,
  address: row.address,
  slots: row.slots,
  allowance: 0,
  running: 0,
  accepting: false,
  consecutiveFailures: 0,
  ejectedUntilMs: null,
  probing: false,
  meanServiceMs: ROUTING.INITIAL_SERVICE_MS,
});

/** Returns the slots of one target for the peer at an index; `offset` rotates the remainder. */
const slotsOfPeer = (
  slots: number,
  peerIndex: number,
  peerCount: number,
  offset: number,
): number => {
  const rotatedIndex = (peerIndex + offset) % peerCount;
  return Math.floor(slots / peerCount) + (rotatedIndex < slots % peerCount ? 1 : 0);
};

/**
 * Sets the slot allowances for a pool's targets. The remainder of each target is allocated from
 * another peer onwards, so that remainders are spread over the peers.
 */
const assignAllowances = (state: State, targets: readonly Target[]): void => {
  const peers = state.membership.zonePeers;
  const peerIndex = peers.indexOf(state.node.identity.entryHostId);
  const ordered = [...targets].sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
  ordered.forEach((target, offset) => {
    target.allowance =
      peerIndex < 0 ? 0 : slotsOfPeer(target.slots, peerIndex, peers.length, offset);
  });
};

/**
 * Allocates the slots of each target to the live entry hosts of the zone.
 *
 * @param state - The state to change.
 */
export const allocateSlots = (state: State): void => {
  for (const [pool, targets] of state.routing.targetsByPool) {
    assignAllowances(state, targets);
    state.queues.poolsToRecheck.add(pool);
  }
};

const applyHostRow = (state: State, row: HostRow): void => {
  const target = state.routing.targets.get(row.hostId) ?? newTarget(row);
  state.routing.targets.set(row.hostId, target);
  target.pool = row.pool;
  target.address = row.address;
  target.slots = row.slots;
  target.accepting = row.phase === HOST_PHASE.IN_SERVICE && target.ejectedUntilMs === null;
};

const groupByPool = (state: State): void => {
  const groups = new Map<PoolId, Target[]>();
  for (const target of state.routing.targets.values()) {
    const group = groups.get(target.pool) ?? [];
    group.push(target);
    groups.set(target.pool, group);
  }
  state.routing.targetsByPool = groups;
};

/**
 * Applies changed host rows of this zone to the targets.
 *
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 */
export const applyRoutingRows = (state: State, rows: readonly TableRow[]): void => {
  const zone = state.node.identity.availabilityZone;
  let changed = false;
  for (const { body } of rows) {
    if (body.type === "host" && body.availabilityZone === zone) {
      applyHostRow(state, body);
      changed = true;
    }
  }
  if (changed) {
    groupByPool(state);
    allocateSlots(state);
  }
};

const isInService = (state: State, hostId: HostId): boolean =>
  state.fleet.hosts.get(hostId)?.phase === HOST_PHASE.IN_SERVICE;

/**
 * Records that a target served a request.
 *
 * @param target - The target.
 * @param serviceMs - Time from dispatch to the end of the answer, in ms.
 */
export const recordSuccess = (target: Target, serviceMs: number): void => {
  target.consecutiveFailures = 0;
  target.probing = false;
  target.meanServiceMs += (serviceMs - target.meanServiceMs) * ROUTING.SERVICE_SMOOTHING;
};

/**
 * Records that a target failed a request, and ejects it when the policy says so.
 *
 * @param state - The state to change.
 * @param target - The target.
 * @param policies - The node's policies.
 */
export const recordFailure = (state: State, target: Target, policies: Policies): void => {
  target.consecutiveFailures += 1;
  const ejectionMs = policies.ejection.ejectForMs(target, targetsOf(state, target.pool));
  if (ejectionMs === null || target.ejectedUntilMs !== null) {
    return;
  }
  target.ejectedUntilMs = state.nowMs + ejectionMs;
  target.probing = false;
  target.accepting = false;
  state.routing.ejections += 1;
};

/**
 * Ends ejections whose time is up; such a target gets one request at a time until one succeeds.
 *
 * @param state - The state to change.
 */
export const endEjections = (state: State): void => {
  for (const target of state.routing.targets.values()) {
    if (target.ejectedUntilMs !== null && state.nowMs >= target.ejectedUntilMs) {
      target.ejectedUntilMs = null;
      target.probing = true;
      target.accepting = isInService(state, target.hostId);
      state.queues.poolsToRecheck.add(target.pool);
    }
  }
};

/**
 * Adds the retry tokens for one first attempt.
 *
 * @param state - The state to change.
 */
export const earnRetryTokens = (state: State): void => {
  state.routing.retryTokens = Math.min(
    RETRY_BUDGET.MAX_TOKENS,
    state.routing.retryTokens + RETRY_BUDGET.TOKENS_PER_REQUEST,
  );
};

/**
 * Takes a token for one retry.
 *
 * @param state - The state to change.
 * @returns Whether there was a token, so that the retry may start.
 */
export const spendRetryToken = (state: State): boolean => {
  if (state.routing.retryTokens < 1) {
    return false;
  }
  state.routing.retryTokens -= 1;
  return true;
};
