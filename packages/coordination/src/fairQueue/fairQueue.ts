import type { RequestId, TeamId } from "@heatherferry/common";
import { createHoleyFifo, needsCompacting, peekFifo } from "./holeyFifo.js";
import type { FairQueue, HoleyFifo, PickedRequest, TeamQueue } from "./types.js";

export const createFairQueue = (): FairQueue => ({
  virtualTime: 0,
  length: 0,
  teams: new Map(),
  places: new Map(),
});

/**
 * @param queue - The queue to read.
 * @param team - The team; made with a share of 1 when new.
 * @returns The team's part of the queue.
 */
export const teamQueueOf = (queue: FairQueue, team: TeamId): TeamQueue => {
  const known = queue.teams.get(team);
  if (known !== undefined) {
    return known;
  }
  const made: TeamQueue = {
    team,
    share: 1,
    startTag: queue.virtualTime,
    length: 0,
    urgent: createHoleyFifo(),
    ordinary: createHoleyFifo(),
  };
  queue.teams.set(team, made);
  return made;
};

/**
 * @param queue - The queue to change.
 * @param team - The team whose weight is set.
 * @param share - Weight among teams, above 0.
 */
export const setShare = (queue: FairQueue, team: TeamId, share: number): void => {
  teamQueueOf(queue, team).share = share;
};

/**
 * Adds a request. A team that comes back from idling starts at the present virtual time: it
 * neither keeps credit for the time without demand nor loses what it was overcharged.
 *
 * @param queue - The queue to change.
 * @param team - The team that is charged.
 * @param requestId - A request that is not in the queue.
 * @param urgent - Urgent requests go before the team's and other teams' ordinary ones.
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
  queue.places.set(requestId, { teamQueue, fifo, index: fifo.items.length - 1 });
  teamQueue.length += 1;
  queue.length += 1;
};

const compact = (queue: FairQueue, fifo: HoleyFifo): void => {
  const passed = fifo.head;
  fifo.items = fifo.items.slice(passed);
  fifo.head = 0;
  for (const requestId of fifo.items) {
    const place = requestId === null ? undefined : queue.places.get(requestId);
    if (place !== undefined) {
      place.index -= passed;
    }
  }
};

/**
 * Takes a request out, wherever it stands.
 *
 * @param queue - The queue to change.
 * @param requestId - The request.
 * @returns False when it was not waiting.
 */
export const removeRequest = (queue: FairQueue, requestId: RequestId): boolean => {
  const place = queue.places.get(requestId);
  if (place === undefined) {
    return false;
  }
  queue.places.delete(requestId);
  place.fifo.items[place.index] = null;
  place.teamQueue.length -= 1;
  queue.length -= 1;
  peekFifo(place.fifo);
  if (needsCompacting(place.fifo)) {
    compact(queue, place.fifo);
  }
  return true;
};

/** The eligible team that is furthest behind, among those with a request of the class. */
const furthestBehind = (
  queue: FairQueue,
  fifoOf: (teamQueue: TeamQueue) => HoleyFifo,
  eligible: (team: TeamId) => boolean,
): TeamQueue | null => {
  let chosen: TeamQueue | null = null;
  for (const teamQueue of queue.teams.values()) {
    const behind = chosen === null || teamQueue.startTag < chosen.startTag;
    if (behind && peekFifo(fifoOf(teamQueue)) !== null && eligible(teamQueue.team)) {
      chosen = teamQueue;
    }
  }
  return chosen;
};

const urgentOf = (teamQueue: TeamQueue): HoleyFifo => teamQueue.urgent;
const ordinaryOf = (teamQueue: TeamQueue): HoleyFifo => teamQueue.ordinary;

/**
 * Chooses the next request without taking it out.
 *
 * @param queue - The queue to read.
 * @param eligible - Whether a team may start one more request.
 * @returns The request whose turn it is, or null when no eligible team waits.
 */
export const peekNext = (
  queue: FairQueue,
  eligible: (team: TeamId) => boolean,
): PickedRequest | null => {
  if (queue.length === 0) {
    return null;
  }
  for (const fifoOf of [urgentOf, ordinaryOf]) {
    const teamQueue = furthestBehind(queue, fifoOf, eligible);
    const requestId = teamQueue === null ? null : peekFifo(fifoOf(teamQueue));
    if (teamQueue !== null && requestId !== null) {
      return { team: teamQueue.team, requestId };
    }
  }
  return null;
};

/**
 * Takes a request out because it starts, and charges its team.
 *
 * @param queue - The queue to change.
 * @param picked - A request out of {@link peekNext}.
 * @param expectedSlotMs - Slot time that it is expected to use; corrected with {@link charge}.
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
 * Moves a team on in virtual time.
 *
 * @param queue - The queue to change.
 * @param team - The team that used slots, here or at another entry host.
 * @param slotMs - Slot time; negative to give back what was charged too much.
 */
export const charge = (queue: FairQueue, team: TeamId, slotMs: number): void => {
  const teamQueue = teamQueueOf(queue, team);
  teamQueue.startTag += slotMs / teamQueue.share;
};
