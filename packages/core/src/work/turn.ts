import type { Effect } from "../effect.js";
import { logClassOf } from "./keptEvents.js";
import type { WorkloadState } from "./state.js";
import type { HostOrderId } from "./types.js";

/** What one event's handling works on. */
export interface Turn {
  readonly work: WorkloadState;
  readonly nowMs: number;
  /** Wall clock of this node; null until it was read. */
  readonly wallMs: number;
  readonly effects: Effect[];
}

type Fields = Readonly<Record<string, string | number | boolean | null>>;

/** Adds a log line, of the class that its event has. */
export const logLine = (
  turn: Turn,
  level: "debug" | "info" | "warn" | "error",
  event: string,
  fields: Fields,
): void => {
  turn.effects.push({ type: "log/write", level, event, fields, lineClass: logClassOf(event) });
};

/** Asks for a turn of the clock after a delay, once for the soonest of all that ask. */
export const wakeAfter = (turn: Turn, delayMs: number): void => {
  const { work, nowMs, effects } = turn;
  const atMs = nowMs + Math.max(1, delayMs);
  if (work.wakeAtMs !== null && work.wakeAtMs > nowMs && work.wakeAtMs <= atMs) {
    return;
  }
  work.wakeAtMs = atMs;
  effects.push({ type: "clock/wake", delayMs: Math.max(1, delayMs) });
};

/** @returns A new id for a transaction of this node. */
export const newCommitId = (work: WorkloadState): string => {
  const id = `${work.identity.incarnation}-${work.nextCommit}`;
  work.nextCommit += 1;
  return id;
};

/** @returns A new id for an order to a host; no other order of this process has it. */
export const newHostOrderId = (work: WorkloadState): HostOrderId => {
  const id = work.nextHostOrder as HostOrderId;
  work.nextHostOrder += 1;
  return id;
};

/** @returns An age or a time for a log line: whole ms, null where there is none. */
export const loggedMs = (ms: number): number | null =>
  Number.isFinite(ms) ? Math.round(ms) : null;
