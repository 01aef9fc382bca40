import type { Effect } from "../effect.js";
import { logClassOf } from "./logClasses.js";
import type { WorkloadState } from "./state.js";
import type { HostOrderId } from "./types.js";

/** State, clock readings and effects of the handling of one event. */
export interface Turn {
  readonly work: WorkloadState;
  readonly nowMs: number;
  /** This node's wall clock: as read with the event, else derived from the last reading. */
  readonly wallMs: number;
  /** Receives the effects to carry out. */
  readonly effects: Effect[];
}

type Fields = Readonly<Record<string, string | number | boolean | null>>;

/** Adds a log line with the retention class of its event. */
export const logLine = (
  turn: Turn,
  level: "debug" | "info" | "warn" | "error",
  event: string,
  fields: Fields,
): void => {
  turn.effects.push({ type: "log/write", level, event, fields, lineClass: logClassOf(event) });
};

/** Requests a clock tick after a delay, unless an earlier one is already requested. */
export const wakeAfter = (turn: Turn, delayMs: number): void => {
  const { work, nowMs, effects } = turn;
  const atMs = nowMs + Math.max(1, delayMs);
  if (work.wakeAtMs !== null && work.wakeAtMs > nowMs && work.wakeAtMs <= atMs) {
    return;
  }
  work.wakeAtMs = atMs;
  effects.push({ type: "clock/wake", delayMs: Math.max(1, delayMs) });
};

/**
 * Returns the time as of which an answer is valid. An answer to a request from before a suspension
 * of the machine proves nothing about the time since, although it looks recent on the monotonic
 * clock, which stood still during it.
 *
 * @param sentAtMs - When the answered request was sent.
 * @returns The send time, or -Infinity if it is before the last clock jump.
 */
export const validAsOfMs = ({ work }: Turn, sentAtMs: number): number =>
  sentAtMs < work.clockJumpedAtMs ? -Infinity : sentAtMs;

/** Returns an id for a transaction that no other transaction of this incarnation has. */
export const newCommitId = (work: WorkloadState): string => {
  const id = `${work.identity.incarnation}-${work.nextCommit}`;
  work.nextCommit += 1;
  return id;
};

/** Returns an id for an order to a host that no other order of this process has. */
export const newHostOrderId = (work: WorkloadState): HostOrderId => {
  const id = work.nextHostOrder as HostOrderId;
  work.nextHostOrder += 1;
  return id;
};

/** Returns a duration for a log line in whole ms; null if it is not finite. */
export const roundedMs = (ms: number): number | null =>
  Number.isFinite(ms) ? Math.round(ms) : null;
