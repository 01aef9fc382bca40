import type { TeamId } from "@heatherferry/common";
import {
  DEFAULT_ESCROW_TERMS,
  findGrant,
  startableCount,
  type EscrowGrant,
} from "@heatherferry/coordination";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { LIMITS } from "./constants.js";
import type { LimitsState, TeamHolding, ZoneEscrowRow } from "./types.js";

export const initialLimits = (): LimitsState => ({
  terms: DEFAULT_ESCROW_TERMS,
  holdings: new Map(),
  writeInFlight: false,
  nextWriteAtMs: 0,
  nextCheckAtMs: 0,
  readingSinceMs: null,
  readingTeams: new Set(),
  batchSize: LIMITS.MAX_TEAMS_PER_WRITE,
  tableLatestOffsetMs: null,
  abortedAttempts: new Set(),
  counters: { writes: 0, conflicts: 0, stopped: 0 },
});

/**
 * Returns what this entry host holds of a team's limit; creates an empty holding on first use.
 *
 * @param state - The state to change.
 * @param team - The team.
 * @returns The team's holding.
 */
export const holdingOf = (state: State, team: TeamId): TeamHolding => {
  const existing = state.limits.holdings.get(team);
  if (existing !== undefined) {
    return existing;
  }
  const created: TeamHolding = {
    team,
    running: 0,
    grant: null,
    hasPendingWrite: false,
    pendingGrant: null,
    wanted: 0,
    wantedAtMs: 0,
    recheckAtMs: 0,
    unusedSinceMs: null,
  };
  state.limits.holdings.set(team, created);
  return created;
};

/**
 * Returns the name under which this process holds grants; a restarted process has another one.
 *
 * @param state - The state to read.
 * @returns The name, `<entry host>/<incarnation>`.
 */
export const holderOf = (state: State): string =>
  `${state.node.identity.entryHostId}/${state.node.identity.incarnation}`;

/**
 * Returns a team's limit in the rules in force.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns The limit; 0 for a team that is not in the rules.
 */
export const statedLimitOf = (state: State, team: TeamId): number =>
  state.revisions.rules.teams.get(team)?.limit ?? 0;

/**
 * Returns the latest time that the table's clock may show now. A holder judges the expiry of its
 * grants by this time, all others by the earliest possible one, so that a grant expires for its
 * holder first.
 *
 * @param state - The state to read.
 * @returns The time in ms; null before the first read.
 */
export const tableLatestMs = (state: State): number | null =>
  state.limits.tableLatestOffsetMs === null ? null : state.nowMs + state.limits.tableLatestOffsetMs;

/**
 * Returns the number of running requests of a team up to which this entry host may start more.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns The count, including requests that run already.
 */
export const startableNow = (state: State, team: TeamId): number => {
  const holding = state.limits.holdings.get(team);
  const latestMs = tableLatestMs(state);
  if (holding === undefined || latestMs === null) {
    return 0;
  }
  const limit = statedLimitOf(state, team);
  const startable = (grant: EscrowGrant | null): number =>
    grant === null ? 0 : startableCount(grant, limit, latestMs);
  const held = startable(holding.grant);
  return holding.hasPendingWrite ? Math.min(held, startable(holding.pendingGrant)) : held;
};

/**
 * Whether this entry host may start one more request of a team now.
 *
 * @param state - The state to read.
 * @param team - The team.
 * @returns True when fewer run than the grant allows.
 */
export const mayStart = (state: State, team: TeamId): boolean =>
  holdingOf(state, team).running < startableNow(state, team);

const recheckPoolsOf = (state: State, team: TeamId): void => {
  for (const [pool, queue] of state.queues.pools) {
    if ((queue.teams.get(team)?.length ?? 0) > 0) {
      state.queues.poolsToRecheck.add(pool);
    }
  }
};

const applyZoneRow = (state: State, row: ZoneEscrowRow): void => {
  const holding = holdingOf(state, row.team);
  holding.grant = findGrant(row, holderOf(state));
  holding.recheckAtMs = 0;
  recheckPoolsOf(state, row.team);
};

/**
 * Makes every team due for a check after the rules have changed.
 *
 * @param state - The state to change.
 */
export const recheckAllTeams = (state: State): void => {
  for (const holding of state.limits.holdings.values()) {
    holding.recheckAtMs = 0;
  }
};

/**
 * Updates this node's grants from changed rows of its zone.
 *
 * @param state - The state to change.
 * @param rows - Rows that changed in the mirror.
 */
export const applyLimitRows = (state: State, rows: readonly TableRow[]): void => {
  const zone = state.node.identity.availabilityZone;
  for (const { body } of rows) {
    if (body.type === "zoneEscrow" && body.availabilityZone === zone) {
      applyZoneRow(state, body);
    }
  }
};
