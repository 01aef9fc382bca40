import { assertNever } from "@heatherferry/common";
import { xoroshiro128plus } from "pure-rand";
import type { ExchangeId } from "../http/types.js";
import { nextFraction } from "../random.js";
import { beginReboot, endReboot, findHost, listHosts, setHosts } from "./hosts.js";
import { readRanges, writeRows } from "./table.js";
import type {
  PlatformAnswer,
  PlatformCallEvent,
  PlatformStandInEffect,
  PlatformStandInEvent,
  PlatformStandInState,
} from "./types.js";

type Effects = readonly PlatformStandInEffect[];

const answer = (
  state: PlatformStandInState,
  exchangeId: ExchangeId,
  content: PlatformAnswer,
): Effects => [
  { type: "exchange/answer", exchangeId, delayMs: state.faults.delayMs, answer: content },
];

/** Answers a call that took effect, or drops the reply at the configured rate. */
const answerUnlessLost = (
  state: PlatformStandInState,
  exchangeId: ExchangeId,
  content: PlatformAnswer,
): Effects => {
  const { loseReplyFraction, delayMs } = state.faults;
  if (loseReplyFraction === 0 || nextFraction(state.random) >= loseReplyFraction) {
    return answer(state, exchangeId, content);
  }
  state.counters.lostReplies += 1;
  return [{ type: "exchange/destroy", exchangeId, delayMs }];
};

const reduceRead = (
  state: PlatformStandInState,
  event: PlatformCallEvent & { type: "table/readRequested" },
): Effects => {
  const read = readRanges(state.table, event.ranges, event.atMs);
  state.counters.reads += 1;
  state.counters.rowsRead += read.rows.length;
  return answer(state, event.exchangeId, read);
};

const reduceWrite = (
  state: PlatformStandInState,
  event: PlatformCallEvent & { type: "table/writeRequested" },
): Effects => {
  const result = writeRows(state.table, event.write, event.atMs);
  if (result.type === "conflicted") {
    state.counters.conflicts += 1;
    return answer(state, event.exchangeId, result);
  }
  state.counters.writes += 1;
  return answerUnlessLost(state, event.exchangeId, result);
};

const reduceReboot = (
  state: PlatformStandInState,
  event: PlatformCallEvent & { type: "host/rebootRequested" },
): Effects => {
  const { exchangeId, hostId, atMs } = event;
  const host = findHost(state.hosts, hostId);
  if (host === undefined) {
    return answer(state, exchangeId, { type: "hostUnknown" });
  }
  if (!beginReboot(state.hosts, hostId, exchangeId, atMs)) {
    return [];
  }
  state.counters.reboots += 1;
  const comesBack = !state.faults.lostHosts.includes(hostId);
  return [{ type: "host/powerCycle", host, comesBack }];
};

const reduceGet = (
  state: PlatformStandInState,
  event: PlatformCallEvent & { type: "object/getRequested" },
): Effects => {
  const bytes = state.objects.get(event.key);
  const content: PlatformAnswer =
    bytes === undefined ? { type: "objectUnknown" } : { type: "objectRead", bytes };
  return answer(state, event.exchangeId, content);
};

const reduceCall = (state: PlatformStandInState, event: PlatformCallEvent): Effects => {
  switch (event.type) {
    case "table/readRequested":
      return reduceRead(state, event);
    case "table/writeRequested":
      return reduceWrite(state, event);
    case "hosts/listRequested":
      state.counters.hostLists += 1;
      return answer(state, event.exchangeId, {
        type: "hostsListed",
        hosts: listHosts(state.hosts, event.atMs, state.faults.listLagMs),
      });
    case "host/rebootRequested":
      return reduceReboot(state, event);
    case "object/putRequested":
      state.objects.set(event.key, event.bytes);
      return answerUnlessLost(state, event.exchangeId, { type: "objectStored" });
    case "object/getRequested":
      return reduceGet(state, event);
    default:
      return assertNever(event);
  }
};

const reduceFaults = (
  state: PlatformStandInState,
  event: PlatformStandInEvent & { type: "faults/set" },
): Effects => {
  const isOutageStart = event.faults.down && !state.faults.down;
  state.faults = event.faults;
  if (event.seed !== null) {
    state.random = xoroshiro128plus(event.seed);
  }
  return isOutageStart ? [{ type: "exchange/destroyAll" }] : [];
};

const destroyCall = (state: PlatformStandInState, exchangeId: ExchangeId): Effects => {
  state.counters.cutWhileDown += 1;
  return [{ type: "exchange/destroy", exchangeId, delayMs: 0 }];
};

/**
 * Handles one event of the platform stand-in.
 *
 * @param state - The state of the platform, updated in place.
 * @param event - A call of a client, the end of a reboot, or a control request of a test.
 * @returns The effects to execute.
 */
export const reducePlatform = (
  state: PlatformStandInState,
  event: PlatformStandInEvent,
): Effects => {
  switch (event.type) {
    case "hosts/set":
      setHosts(state.hosts, event.hosts, event.atMs);
      return [];
    case "faults/set":
      return reduceFaults(state, event);
    case "host/rebootEnded":
      return endReboot(state.hosts, event.hostId, event.cameBack, event.atMs).flatMap(
        (exchangeId) =>
          answer(state, exchangeId, { type: event.cameBack ? "hostRebooted" : "hostStayedDown" }),
      );
    default:
      return state.faults.down ? destroyCall(state, event.exchangeId) : reduceCall(state, event);
  }
};
