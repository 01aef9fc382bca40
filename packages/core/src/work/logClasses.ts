import { LOG_CLASS, type LogClass } from "@heatherferry/common";

/** Log events that the analysis of an incident needs; routine lines never displace their lines. */
const KEPT_EVENTS: ReadonlySet<string> = new Set([
  "node.readiness",
  "owner.seen",
  "owner.claiming",
  "owner.claimLost",
  "owner.taken",
  "owner.loaded",
  "owner.recovered",
  "owner.writeUnsettled",
  "owner.commitRejected",
  "owner.commitTruncated",
  "owner.ended",
  "owner.yielding",
  "store.lost",
  "store.regained",
  "clock.jumped",
  "loop.lagged",
  "worker.registered",
  "worker.deregistered",
  "worker.poolUnnamed",
  "worker.registrationRefuted",
  "worker.otherIncarnation",
  "worker.overcommitted",
  "host.moving",
  "host.draining",
  "host.orderAnswered",
  "host.orderDropped",
  "wave.requested",
  "wave.upkeepOrdered",
  "wave.hostDone",
  "wave.completed",
  "evacuation.requested",
  "evacuation.removed",
  "evacuation.emptied",
  "evacuation.ended",
  "submission.starved",
  "runs.abandoned",
  "run.duplicate",
  "run.orphanStopped",
]);

/** Returns the retention class of the lines of a log event. */
export const logClassOf = (event: string): LogClass =>
  KEPT_EVENTS.has(event) ? LOG_CLASS.KEPT : LOG_CLASS.ROUTINE;
