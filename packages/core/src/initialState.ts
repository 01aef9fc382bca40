import { rowKey } from "@heatherferry/common";
import { xoroshiro128plus } from "pure-rand";
import { initialFleet } from "./fleet/fleetRows.js";
import { initialLimits } from "./limits/holdings.js";
import { zoneEscrowPrefix } from "./limits/rows.js";
import { initialMembership, zoneMembersPrefix } from "./membership/reduceMembership.js";
import { NODE_ROLE } from "./node/constants.js";
import type { NodeIdentity } from "./node/types.js";
import { initialPeers } from "./peers/knownPeers.js";
import { ROW_PREFIX } from "./platform/constants.js";
import { mirrorPrefix } from "./platform/mirror.js";
import { initialPlatform } from "./platform/reducePlatform.js";
import { rowKeyOf } from "./platform/writes.js";
import { initialQueues } from "./queues/poolQueues.js";
import { initialRequests } from "./requests/reduceRequests.js";
import { initialRevisions } from "./revisions/reduceRevisions.js";
import { initialRouting } from "./routing/targets.js";
import { initialTickets } from "./tickets/workRecords.js";
import type { State } from "./state.js";
import { initialWaves } from "./waves/waveRows.js";

/** Registers the ranges of the platform's table that a node of this role mirrors. */
const mirrorForRole = (state: State): void => {
  const { role, availabilityZone } = state.node.identity;
  mirrorPrefix(state, rowKey(ROW_PREFIX.RULES_HEAD));
  if (role === NODE_ROLE.ENTRY) {
    mirrorPrefix(state, zoneMembersPrefix(state));
    mirrorPrefix(state, rowKeyOf(ROW_PREFIX.HOST, availabilityZone, "/"));
    mirrorPrefix(state, zoneEscrowPrefix(state));
  } else {
    mirrorPrefix(state, rowKey(ROW_PREFIX.HOST));
    mirrorPrefix(state, rowKey(ROW_PREFIX.MEMBER));
    mirrorPrefix(state, rowKey(ROW_PREFIX.POOL_BUDGET));
    mirrorPrefix(state, rowKey(ROW_PREFIX.MAINTAINER_LEASE));
    mirrorPrefix(state, rowKey(ROW_PREFIX.WAVE));
  }
};

/**
 * Creates the state of a node that has not handled any event.
 *
 * @param identity - Role, addresses and incarnation of the node.
 * @param seed - Seed of the node's random number generator.
 * @param nowMs - Current time on the node's monotonic clock.
 * @returns The initial state.
 */
export const initialState = (identity: NodeIdentity, seed: number, nowMs: number): State => {
  const state: State = {
    nowMs,
    random: xoroshiro128plus(seed),
    node: { identity, shutdownStartedAtMs: null, supersededBy: null },
    platform: initialPlatform(),
    revisions: initialRevisions(),
    membership: initialMembership(),
    requests: initialRequests(),
    queues: initialQueues(),
    limits: initialLimits(),
    tickets: initialTickets(),
    routing: initialRouting(),
    peers: initialPeers(),
    fleet: initialFleet(),
    waves: initialWaves(),
    work: null,
  };
  mirrorForRole(state);
  return state;
};
