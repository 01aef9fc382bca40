import type { Worker } from "../state.js";
import { logLine, roundedMs, type Turn } from "../turn.js";

/** The kind of a request to a worker. */
export type WorkerRequest = "poll" | "start" | "stop" | "pace";

/**
 * Logs that an answer doesn't come from the known incarnation of a worker, or that its request was
 * sent before this incarnation, or this ownership, was known.
 *
 * @param request - The kind of request that was answered.
 * @param startWallMs - Wall-clock start time of the incarnation that answered; null if unknown.
 */
export const logOtherIncarnation = (
  turn: Turn,
  worker: Worker,
  request: WorkerRequest,
  startWallMs: number | null,
): void => {
  logLine(turn, "warn", "worker.otherIncarnation", {
    worker: worker.report.id,
    request,
    address: worker.report.address,
    startWallMs: worker.report.startWallMs,
    answeredStartWallMs: startWallMs,
    registeredAgeMs: roundedMs(turn.nowMs - worker.registeredAtMs),
    runs: worker.runs.size,
  });
};
