import type { WorkerTarget } from "./events.js";
import { workerAsked } from "./lives.js";
import type { OwnedWork, Worker } from "./state.js";
import { logLine, loggedMs, type Turn } from "./turn.js";

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
  asked: "look" | "start" | "stop",
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

/** Logs an answer that was asked for of another life, at another address or under another owner. */
export const logOutdatedAnswer = (
  turn: Turn,
  owned: OwnedWork,
  answer: WorkerTarget,
  asked: "look" | "start" | "stop",
): void => {
  const worker = owned.workers.get(answer.worker);
  if (worker !== undefined && workerAsked(owned, answer) === null) {
    logOtherLife(turn, worker, asked, answer.bornWallMs);
  }
};
