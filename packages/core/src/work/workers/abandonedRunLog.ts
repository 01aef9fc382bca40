import { ABANDONED_RUNS } from "../constants.js";
import type { AbandonedRuns, OwnedWork, Run, Worker } from "../state.js";
import { logLine, roundedMs, type Turn } from "../turn.js";

const newGroup = (turn: Turn, worker: Worker, reason: string): AbandonedRuns => ({
  worker: worker.report.id,
  reason,
  address: worker.report.address,
  startWallMs: worker.report.startWallMs,
  sinceMs: turn.nowMs,
  answerAgeMs: worker.answeredAtMs === null ? null : turn.nowMs - worker.answeredAtMs,
  pollAgeMs: worker.lastPollAtMs === null ? null : turn.nowMs - worker.lastPollAtMs,
  count: 0,
  firstRuns: [],
});

/** Records an abandoned run that had been ordered, for the log line of its worker and reason. */
export const recordAbandonedRun = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  reason: string,
): void => {
  const key = `${worker.report.id} ${reason}`;
  const group = owned.abandonedRuns.get(key) ?? newGroup(turn, worker, reason);
  owned.abandonedRuns.set(key, group);
  group.count += 1;
  if (group.firstRuns.length < ABANDONED_RUNS.MAX_LISTED) {
    group.firstRuns.push(`${run.item.key} ${run.number}`);
  }
};

/** Logs one line per worker and reason about the runs abandoned since the last call. */
export const logAbandonedRuns = (turn: Turn, owned: OwnedWork): void => {
  for (const group of owned.abandonedRuns.values()) {
    logLine(turn, "warn", "runs.abandoned", {
      worker: group.worker,
      reason: group.reason,
      address: group.address,
      startWallMs: group.startWallMs,
      sinceMs: roundedMs(turn.nowMs - group.sinceMs),
      answerAgeMs: roundedMs(group.answerAgeMs ?? Infinity),
      pollAgeMs: roundedMs(group.pollAgeMs ?? Infinity),
      fence: Number(owned.fence),
      count: group.count,
      first: group.firstRuns.join(", "),
    });
  }
  owned.abandonedRuns.clear();
};
