import type { RowKey } from "@heatherferry/common";
import {
  findGrant,
  adjustZoneCap,
  trimToShare,
  withZone,
  zoneWanted,
  type TeamEscrow,
  type ZoneEscrow,
} from "@heatherferry/coordination";
import { unsafeUniformIntDistribution } from "pure-rand";
import type { Effect } from "../effect.js";
import { mirrorPrefix, tableNowMs } from "../platform/mirror.js";
import type { RowBody, WriteOutcome } from "../platform/types.js";
import { submitWrite } from "../platform/writes.js";
import type { State } from "../state.js";
import { LIMITS } from "./constants.js";
import { holderOf, holdingOf } from "./holdings.js";
import { needOf, applyNeedToZone, type TeamNeed } from "./needs.js";
import {
  statedLimitWithRevision,
  teamEscrowKey,
  teamEscrowOf,
  zoneEscrowKey,
  zoneEscrowOf,
} from "./rows.js";

interface RowChange {
  readonly key: RowKey;
  readonly body: RowBody;
}

/** New contents of a team's rows; `team` is null where the team's own row does not change. */
interface TeamChange {
  readonly need: TeamNeed;
  readonly zone: ZoneEscrow;
  readonly team: TeamEscrow | null;
}

/** Starved teams come first; the rest start at a random one, so that hosts conflict less often. */
const orderNeeds = (state: State, needs: readonly TeamNeed[]): readonly TeamNeed[] => {
  const starved = needs.filter((need) => need.starved);
  const others = needs.filter((need) => !need.starved);
  const from =
    others.length === 0 ? 0 : unsafeUniformIntDistribution(0, others.length - 1, state.random);
  return [...starved, ...others.slice(from), ...others.slice(0, from)];
};

const collectNeeds = (state: State, earliestMs: number): readonly TeamNeed[] => {
  for (const team of state.revisions.rules.teams.keys()) {
    holdingOf(state, team);
  }
  const needs: TeamNeed[] = [];
  for (const holding of state.limits.holdings.values()) {
    if (state.nowMs < holding.recheckAtMs && state.node.shutdownStartedAtMs === null) {
      continue;
    }
    const need = needOf(state, holding, earliestMs);
    holding.recheckAtMs = need === null ? state.nowMs + LIMITS.RECHECK_INTERVAL_MS : 0;
    if (need !== null) {
      needs.push(need);
    }
  }
  return needs;
};

const isTooEarlyToWrite = (state: State): boolean => {
  const { limits, node } = state;
  const dueAtMs = limits.nextWriteAtMs;
  const earlierByMs = LIMITS.WRITE_INTERVAL_MS - LIMITS.SHUTDOWN_WRITE_INTERVAL_MS;
  return state.nowMs < (node.shutdownStartedAtMs === null ? dueAtMs : dueAtMs - earlierByMs);
};

/** Requests a new read of the rows: a change based on fresh rows seldom conflicts. */
const requestRead = (state: State, needs: readonly TeamNeed[]): void => {
  const { limits, platform } = state;
  limits.readingSinceMs = state.nowMs;
  platform.nextReadAtMs = Math.min(platform.nextReadAtMs, state.nowMs);
  for (const need of needs) {
    if (need.capChange !== null) {
      limits.readingTeams.add(need.team);
      mirrorPrefix(state, teamEscrowKey(need.team));
    }
  }
};

const endReading = (state: State): void => {
  const { limits, platform } = state;
  limits.readingSinceMs = null;
  for (const team of limits.readingTeams) {
    platform.ranges.delete(teamEscrowKey(team));
  }
  limits.readingTeams.clear();
};

const differs = (before: unknown, after: unknown): boolean =>
  JSON.stringify(before) !== JSON.stringify(after);

const changeOfBothRows = (
  state: State,
  need: TeamNeed,
  change: number,
  earliestMs: number,
): TeamChange => {
  const { availabilityZone } = state.node.identity;
  const before = zoneEscrowOf(state, need.team);
  const wanted = zoneWanted(before, need.request, earliestMs);
  const adjusted = adjustZoneCap(
    teamEscrowOf(state, need.team),
    before,
    { availabilityZone, stated: statedLimitWithRevision(state, need.team), change, wanted },
    state.limits.terms,
    earliestMs,
  );
  const granted = applyNeedToZone(state, need, adjusted.zone, earliestMs, adjusted.zoneShare);
  const zone = trimToShare(granted, adjusted.zoneShare);
  const team = withZone(adjusted.team, availabilityZone, zone);
  return { need, zone, team: differs(teamEscrowOf(state, need.team), team) ? team : null };
};

const changeOf = (state: State, need: TeamNeed, earliestMs: number): TeamChange => {
  if (need.capChange !== null && state.limits.readingTeams.has(need.team)) {
    return changeOfBothRows(state, need, need.capChange, earliestMs);
  }
  const zone = applyNeedToZone(state, need, zoneEscrowOf(state, need.team), earliestMs);
  return { need, zone, team: null };
};

const withoutTimes = (zone: ZoneEscrow): ZoneEscrow => ({
  ...zone,
  grants: zone.grants.map((grant) => ({ ...grant, baseUntilMs: 0, burstUntilMs: 0 })),
});

/** A change of expiry times alone is written only if it renews a grant. */
const isWorthWriting = (state: State, change: TeamChange): boolean => {
  const before = zoneEscrowOf(state, change.need.team);
  return (
    change.need.renews ||
    differs(withoutTimes(before), withoutTimes(change.zone)) ||
    change.team !== null
  );
};

const putsOf = (state: State, change: TeamChange): readonly RowChange[] => {
  const { team } = change.need;
  const { availabilityZone } = state.node.identity;
  const zoneBody: RowBody = { type: "zoneEscrow", availabilityZone, team, ...change.zone };
  const zonePut = { key: zoneEscrowKey(state, team), body: zoneBody };
  if (change.team === null) {
    return [zonePut];
  }
  return [
    zonePut,
    { key: teamEscrowKey(team), body: { type: "teamEscrow", team, ...change.team } },
  ];
};

const markPendingWrite = (state: State, change: TeamChange): void => {
  const holding = holdingOf(state, change.need.team);
  holding.hasPendingWrite = true;
  holding.pendingGrant = findGrant(change.zone, holderOf(state));
};

const submitChanges = (state: State, changes: readonly TeamChange[], effects: Effect[]): void => {
  const { limits } = state;
  changes.forEach((change) => {
    markPendingWrite(state, change);
  });
  limits.writeInFlight = true;
  limits.counters.writes += 1;
  const request = {
    purpose: "escrow",
    puts: changes.flatMap((change) => putsOf(state, change)),
    giveUpAtMs: null,
  } as const;
  submitWrite(state, request, effects);
};

/**
 * Begins an escrow write when one is due, by requesting a new read of its rows.
 *
 * @param state - The state to change.
 */
export const beginEscrowWriteWhenDue = (state: State): void => {
  const { limits } = state;
  const earliestMs = tableNowMs(state);
  if (earliestMs === null || limits.writeInFlight || limits.readingSinceMs !== null) {
    return;
  }
  if (isTooEarlyToWrite(state) || state.nowMs < limits.nextCheckAtMs) {
    return;
  }
  limits.nextCheckAtMs = state.nowMs + LIMITS.CHECK_INTERVAL_MS;
  const needs = collectNeeds(state, earliestMs);
  if (needs.length > 0) {
    requestRead(state, needs);
  }
};

/** Jitter separates the writes of entry hosts that a surge of requests triggered together. */
const nextIntervalMs = (state: State): number => {
  const { WRITE_INTERVAL_MS, WRITE_JITTER_MS } = LIMITS;
  const jitterMs = unsafeUniformIntDistribution(-WRITE_JITTER_MS, WRITE_JITTER_MS, state.random);
  return WRITE_INTERVAL_MS + jitterMs;
};

/**
 * Submits the escrow write that is due once its rows have been read again.
 *
 * @param state - The state to change.
 * @param readSentAtMs - When the completed read was sent.
 * @param effects - Receives the write.
 */
export const writeEscrowAfterRead = (
  state: State,
  readSentAtMs: number,
  effects: Effect[],
): void => {
  const { limits, platform } = state;
  const earliestMs = tableNowMs(state);
  if (limits.readingSinceMs === null || earliestMs === null) {
    return;
  }
  if (readSentAtMs < limits.readingSinceMs) {
    platform.nextReadAtMs = state.nowMs;
    return;
  }
  const needs = orderNeeds(state, collectNeeds(state, earliestMs)).slice(0, limits.batchSize);
  const changes = needs
    .map((need) => changeOf(state, need, earliestMs))
    .filter((change) => isWorthWriting(state, change));
  endReading(state);
  limits.nextWriteAtMs = state.nowMs + nextIntervalMs(state);
  if (changes.length > 0) {
    submitChanges(state, changes, effects);
  }
};

/**
 * Adapts the batch size and the time of the next write to the outcome of an escrow write.
 *
 * @param state - The state to change.
 * @param outcome - How the write ended; the rows themselves are already in the mirror.
 */
export const handleLimitWriteOutcome = (state: State, outcome: WriteOutcome): void => {
  const { limits } = state;
  limits.writeInFlight = false;
  for (const holding of limits.holdings.values()) {
    holding.hasPendingWrite = false;
    holding.pendingGrant = null;
  }
  if (outcome.result === "committed") {
    limits.batchSize = Math.min(LIMITS.MAX_TEAMS_PER_WRITE, limits.batchSize * 2);
    return;
  }
  limits.counters.conflicts += 1;
  limits.batchSize = Math.max(LIMITS.MIN_TEAMS_PER_WRITE, Math.floor(limits.batchSize / 2));
  limits.nextWriteAtMs =
    state.nowMs + unsafeUniformIntDistribution(0, LIMITS.CONFLICT_BACKOFF_MS, state.random);
};

/**
 * Whether a node that is shutting down has returned all its grants.
 *
 * @param state - The state to read.
 * @returns True when it holds no grant and no escrow write is in flight.
 */
export const hasReturnedGrants = (state: State): boolean =>
  !state.limits.writeInFlight &&
  [...state.limits.holdings.values()].every((holding) => holding.grant === null);
