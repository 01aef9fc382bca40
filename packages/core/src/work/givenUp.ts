import { GIVEN_UP } from "./constants.js";
import type { GivenUpRuns, OwnedWork, Run, Worker } from "./state.js";
import { logLine, loggedMs, type Turn } from "./turn.js";

const newGroup = (turn: Turn, worker: Worker, why: string): GivenUpRuns => ({
  worker: worker.report.id,
  why,
  address: worker.report.address,
  bornWallMs: worker.report.bornWallMs,
  sinceMs: turn.nowMs,
  answerAgeMs: worker.answeredAtMs === null ? null : turn.nowMs - worker.answeredAtMs,
  lookAgeMs: worker.lastLookAtMs === null ? null : turn.nowMs - worker.lastLookAtMs,
  count: 0,
  first: [],
});

/** Records an abandoned run that had been ordered, for the log line of its worker and reason. */
export const noteGivenUp = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  why: string,
): void => {
  const key = `${worker.report.id} ${why}`;
  const group = owned.givenUp.get(key) ?? newGroup(turn, worker, why);
  owned.givenUp.set(key, group);
  group.count += 1;
  if (group.first.length < GIVEN_UP.NAMED_RUNS) {
    group.first.push(`${run.item.key} ${run.number}`);
  }
};

/** Logs one line per worker and reason about the runs abandoned since the last call. */
export const logGivenUp = (turn: Turn, owned: OwnedWork): void => {
  for (const group of owned.givenUp.values()) {
    logLine(turn, "warn", "runs.abandoned", {
      worker: group.worker,
      reason: group.why,
      address: group.address,
      startWallMs: group.bornWallMs,
      sinceMs: loggedMs(turn.nowMs - group.sinceMs),
      answerAgeMs: loggedMs(group.answerAgeMs ?? Infinity),
      pollAgeMs: loggedMs(group.lookAgeMs ?? Infinity),
      fence: Number(owned.fence),
      count: group.count,
      first: group.first.join(", "),
    });
  }
  owned.givenUp.clear();
};
