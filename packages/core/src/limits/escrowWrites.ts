import type { RowKey } from "@heatherferry/common";
import {
  grantOf,
  settleCaps,
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
import { needOf, zoneAfter, type TeamNeed } from "./needs.js";
import { statedOf, teamEscrowKey, teamEscrowOf, zoneEscrowKey, zoneEscrowOf } from "./rows.js";

interface RowChange {
  readonly key: RowKey;
  readonly body: RowBody;
}

/** Both rows of a team as they are to be written; the team's own is null where it stays. */
interface TeamChange {
  readonly need: TeamNeed;
  readonly zone: ZoneEscrow;
  readonly team: TeamEscrow | null;
}

/** Teams whose requests wait go first; then a place that differs between hosts, so that they collide less. */
const inOrder = (state: State, needs: readonly TeamNeed[]): readonly TeamNeed[] => {
  const starved = needs.filter((need) => need.starved);
  const others = needs.filter((need) => !need.starved);
  const from =
    others.length === 0 ? 0 : unsafeUniformIntDistribution(0, others.length - 1, state.random);
  return [...starved, ...others.slice(from), ...others.slice(0, from)];
};

const needsNow = (state: State, earliestMs: number): readonly TeamNeed[] => {
  for (const team of state.revisions.rules.teams.keys()) {
    holdingOf(state, team);
  }
  const needs: TeamNeed[] = [];
  for (const holding of state.limits.holdings.values()) {
    if (state.nowMs < holding.lookAtMs && state.node.leavingSinceMs === null) {
      continue;
    }
    const need = needOf(state, holding, earliestMs);
    holding.lookAtMs = need === null ? state.nowMs + LIMITS.LOOK_AGAIN_MS : 0;
    if (need !== null) {
      needs.push(need);
    }
  }
  return needs;
};

const isPaced = (state: State): boolean => {
  const { limits, node } = state;
  const lastMs = limits.nextWriteAtMs;
  const early = LIMITS.WRITE_INTERVAL_MS - LIMITS.LEAVING_INTERVAL_MS;
  return state.nowMs < (node.leavingSinceMs === null ? lastMs : lastMs - early);
};

/** Has the rows read anew: a change that is worked out on fresh rows seldom conflicts. */
const readFirst = (state: State, needs: readonly TeamNeed[]): void => {
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

const withTeamRow = (
  state: State,
  need: TeamNeed,
  change: number,
  earliestMs: number,
): TeamChange => {
  const { availabilityZone } = state.node.identity;
  const before = zoneEscrowOf(state, need.team);
  const wanted = zoneWanted(before, need.request, earliestMs);
  const settled = settleCaps(
    teamEscrowOf(state, need.team),
    before,
    { availabilityZone, stated: statedOf(state, need.team), change, wanted },
    state.limits.terms,
    earliestMs,
  );
  const granted = zoneAfter(state, need, settled.zone, earliestMs, settled.zoneShare);
  const zone = trimToShare(granted, settled.zoneShare);
  const team = withZone(settled.team, availabilityZone, zone);
  return { need, zone, team: differs(teamEscrowOf(state, need.team), team) ? team : null };
};

const changeOf = (state: State, need: TeamNeed, earliestMs: number): TeamChange => {
  if (need.capChange !== null && state.limits.readingTeams.has(need.team)) {
    return withTeamRow(state, need, need.capChange, earliestMs);
  }
  const zone = zoneAfter(state, need, zoneEscrowOf(state, need.team), earliestMs);
  return { need, zone, team: null };
};

const withoutTimes = (zone: ZoneEscrow): ZoneEscrow => ({
  ...zone,
  grants: zone.grants.map((grant) => ({ ...grant, baseUntilMs: 0, burstUntilMs: 0 })),
});

/** Where only times would change, a write is worth it for a renewal alone. */
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

const noteChanging = (state: State, change: TeamChange): void => {
  const holding = holdingOf(state, change.need.team);
  holding.changing = true;
  holding.changedGrant = grantOf(change.zone, holderOf(state));
};

const submitChanges = (state: State, changes: readonly TeamChange[], effects: Effect[]): void => {
  const { limits } = state;
  changes.forEach((change) => {
    noteChanging(state, change);
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
 * Begins an escrow write where one is due: first its rows are read anew.
 *
 * @param state - The state to change.
 */
export const beginWriteWhenDue = (state: State): void => {
  const { limits } = state;
  const earliestMs = tableNowMs(state);
  if (earliestMs === null || limits.writeInFlight || limits.readingSinceMs !== null) {
    return;
  }
  if (isPaced(state) || state.nowMs < limits.nextCheckAtMs) {
    return;
  }
  limits.nextCheckAtMs = state.nowMs + LIMITS.CHECK_INTERVAL_MS;
  const needs = needsNow(state, earliestMs);
  if (needs.length > 0) {
    readFirst(state, needs);
  }
};

/** Hosts that a surge sets off at once do not go on writing at once. */
const nextIntervalMs = (state: State): number => {
  const { WRITE_INTERVAL_MS, WRITE_JITTER_MS } = LIMITS;
  const jitterMs = unsafeUniformIntDistribution(-WRITE_JITTER_MS, WRITE_JITTER_MS, state.random);
  return WRITE_INTERVAL_MS + jitterMs;
};

/**
 * Writes what is due once its rows were read anew.
 *
 * @param state - The state to change.
 * @param readSentAtMs - When the completed read was sent.
 * @param effects - Receives the write.
 */
export const writeAfterRead = (state: State, readSentAtMs: number, effects: Effect[]): void => {
  const { limits, platform } = state;
  const earliestMs = tableNowMs(state);
  if (limits.readingSinceMs === null || earliestMs === null) {
    return;
  }
  if (readSentAtMs < limits.readingSinceMs) {
    platform.nextReadAtMs = state.nowMs;
    return;
  }
  const needs = inOrder(state, needsNow(state, earliestMs)).slice(0, limits.batchSize);
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
 * @param state - The state to change.
 * @param outcome - How an escrow write ended; the rows themselves are in the mirror.
 */
export const writeSettledLimits = (state: State, outcome: WriteOutcome): void => {
  const { limits } = state;
  limits.writeInFlight = false;
  for (const holding of limits.holdings.values()) {
    holding.changing = false;
    holding.changedGrant = null;
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
 * @param state - The state to read.
 * @returns Whether a leaving node has handed back all that it held.
 */
export const hasReturnedGrants = (state: State): boolean =>
  !state.limits.writeInFlight &&
  [...state.limits.holdings.values()].every((holding) => holding.grant === null);
