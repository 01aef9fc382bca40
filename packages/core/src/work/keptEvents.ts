import { LOG_CLASS, type LogClass } from "@heatherferry/common";

/** Events of the log that an incident needs: lines of single runs never push them out. */
const KEPT_EVENTS: ReadonlySet<string> = new Set([
  "node.readiness",
  "owner.seen",
  "owner.claiming",
  "owner.claimLost",
  "owner.taken",
  "owner.loaded",
  "owner.allHeard",
  "owner.writeUnsettled",
  "owner.leftBehind",
  "owner.ended",
  "owner.yielding",
  "store.lost",
  "store.regained",
  "clock.jumped",
  "loop.lagged",
  "worker.listed",
  "worker.unlisted",
  "worker.otherLife",
  "worker.overfull",
  "host.moving",
  "host.draining",
  "host.orderAnswered",
  "host.orderDropped",
  "wave.requested",
  "wave.upkeepOrdered",
  "wave.hostDone",
  "wave.completed",
  "runs.givenUp",
  "run.twice",
  "run.strayStopped",
]);

/** @returns The class of an event's lines. */
export const logClassOf = (event: string): LogClass =>
  KEPT_EVENTS.has(event) ? LOG_CLASS.KEPT : LOG_CLASS.ROUTINE;
