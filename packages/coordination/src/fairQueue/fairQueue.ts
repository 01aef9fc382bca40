import type { RequestId, TeamId } from "@heatherferry/common";
import { createTombstoneFifo, needsCompacting, peekFifo } from "./tombstoneFifo.js";
import type { FairQueue, TombstoneFifo, PickedRequest, TeamQueue } from "./types.js";

export const createFairQueue = (): FairQueue => ({
  virtualTime: 0,
  length: 0,
  teams: new Map(),
  positions: new Map(),
});

/**
 * Returns a team's part of the queue, and creates it with a share of 1 if there is none.
 *
 * @param queue - The queue to change.
 * @param team - The team.
 * @returns The team's part of the queue.
 */
export const teamQueueOf = (queue: FairQueue, team: TeamId): TeamQueue => {
  const known = queue.teams.get(team);
  if (known !== undefined) {
    return known;
  }
  const created: TeamQueue = {
    team,
    share: 1,
    startTag: queue.virtualTime,
    length: 0,
    urgent: createTombstoneFifo(),
    ordinary: createTombstoneFifo(),
  };
  queue.teams.set(team, created);
  return created;
};

/**
 * Sets a team's weight.
 *
 * @param queue - The queue to change.
 * @param team - The team.
 * @param share - Weight among teams, above 0.
 */
export const setShare = (queue: FairQueue, team: TeamId, share: number): void => {
  teamQueueOf(queue, team).share = share;
};

/**
 * Adds a request. A team that was idle starts at the current virtual time or its own start tag,
 * whichever is later: it gets no credit for the time without demand, and keeps any charge
 * beyond the current virtual time.
 *
 * @param queue - The queue to change.
 * @param team - The team that is charged for the request.
 * @param requestId - A request that is not in the queue.
 * @param urgent - Whether the request goes before the ordinary ones of all teams.
 */
export const enqueue = (
  queue: FairQueue,
  team: TeamId,
  requestId: RequestId,
  urgent: boolean,
): void => {
  const teamQueue = teamQueueOf(queue, team);
  if (teamQueue.length === 0) {
    teamQueue.startTag = Math.max(teamQueue.startTag, queue.virtualTime);
  }
  const fifo = urgent ? teamQueue.urgent : teamQueue.ordinary;
  fifo.items.push(requestId);
  queue.positions.set(requestId, { teamQueue, fifo, index: fifo.items.length - 1 });
  teamQueue.length += 1;
  queue.length += 1;
};

const compact = (queue: FairQueue, fifo: TombstoneFifo): void => {
  const removedCount = fifo.head;
  fifo.items = fifo.items.slice(removedCount);
  fifo.head = 0;
  for (const requestId of fifo.items) {
    const position = requestId === null ? undefined : queue.positions.get(requestId);
    if (position !== undefined) {
      position.index -= removedCount;
    }
  }
};

/**
 * Removes a request at any position.
 *
 * @param queue - The queue to change.
 * @param requestId - The request.
 * @returns Whether the request was waiting.
 */
export const removeRequest = (queue: FairQueue, requestId: RequestId): boolean => {
  const position = queue.positions.get(requestId);
  if (position === undefined) {
    return false;
  }
  queue.positions.delete(requestId);
  position.fifo.items[position.index] = null;
  position.teamQueue.length -= 1;
  queue.length -= 1;
  peekFifo(position.fifo);
  if (needsCompacting(position.fifo)) {
    compact(queue, position.fifo);
  }
  return true;
};

/** The eligible team with the lowest start tag, among those with a waiting request of the class. */
const lowestStartTag = (
  queue: FairQueue,
  fifoOf: (teamQueue: TeamQueue) => TombstoneFifo,
  eligible: (team: TeamId) => boolean,
): TeamQueue | null => {
  let chosen: TeamQueue | null = null;
  for (const teamQueue of queue.teams.values()) {
    const isLower = chosen === null || teamQueue.startTag < chosen.startTag;
    if (isLower && peekFifo(fifoOf(teamQueue)) !== null && eligible(teamQueue.team)) {
      chosen = teamQueue;
    }
  }
  return chosen;
};

const urgentOf = (teamQueue: TeamQueue): TombstoneFifo => teamQueue.urgent;
const ordinaryOf = (teamQueue: TeamQueue): TombstoneFifo => teamQueue.ordinary;

/**
 * Picks the next request without removing it.
 *
 * @param queue - The queue to read.
 * @param eligible - Whether a team may start one more request.
 * @returns The next request, or null when no eligible team has one waiting.
 */
export const peekNext = (
  queue: FairQueue,
  eligible: (team: TeamId) => boolean,
): PickedRequest | null => {
  if (queue.length === 0) {
    return null;
  }
  for (const fifoOf of [urgentOf, ordinaryOf]) {
    const teamQueue = lowestStartTag(queue, fifoOf, eligible);
    const requestId = teamQueue === null ? null : peekFifo(fifoOf(teamQueue));
    if (teamQueue !== null && requestId !== null) {
      return { team: teamQueue.team, requestId };
    }
  }
  return null;
};

/**
 * Removes a request that starts, and charges its team.
 *
 * @param queue - The queue to change.
 * @param picked - A request returned by {@link peekNext}.
 * @param expectedSlotMs - Expected slot time in ms; {@link charge} corrects it afterwards.
 */
export const startPicked = (
  queue: FairQueue,
  picked: PickedRequest,
  expectedSlotMs: number,
): void => {
  removeRequest(queue, picked.requestId);
  const teamQueue = teamQueueOf(queue, picked.team);
  queue.virtualTime = Math.max(queue.virtualTime, teamQueue.startTag);
  charge(queue, picked.team, expectedSlotMs);
};

/**
 * Charges a team for slot time by advancing its start tag in virtual time.
 *
 * @param queue - The queue to change.
 * @param team - The team that used slots, here or at another entry host.
 * @param slotMs - Slot time in ms; negative to refund an overcharge.
 */
export const charge = (queue: FairQueue, team: TeamId, slotMs: number): void => {
  const teamQueue = teamQueueOf(queue, team);
  teamQueue.startTag += slotMs / teamQueue.share;
};
