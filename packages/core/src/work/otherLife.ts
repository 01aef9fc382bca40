import type { Worker } from "./state.js";
import { logLine, loggedMs, type Turn } from "./turn.js";

/** What a worker was asked. */
export type Asked = "look" | "start" | "stop" | "pace";

/**
 * Logs that an answer is not of the life of a worker that is known, or was asked for before that
 * life, or this ownership, was known.
 *
 * @param asked - What was asked of it.
 * @param bornWallMs - When the life that answered began; null where it does not say.
 */
export const logOtherLife = (
  turn: Turn,
  worker: Worker,
  asked: Asked,
  bornWallMs: number | null,
): void => {
  logLine(turn, "warn", "worker.otherLife", {
    worker: worker.report.id,
    asked,
    address: worker.report.address,
    bornWallMs: worker.report.bornWallMs,
    answeredBornWallMs: bornWallMs,
    enlistedAgeMs: loggedMs(turn.nowMs - worker.enlistedAtMs),
    runs: worker.runs.size,
  });
};
