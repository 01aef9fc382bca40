import { GIVEN_UP } from "./constants.js";
import type { GivenUpRuns, OwnedWork, Run, Worker } from "./state.js";
import { logLine, loggedMs, type Turn } from "./turn.js";

const begin = (turn: Turn, worker: Worker, why: string): GivenUpRuns => ({
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

/** Notes that a run is given up although it was ordered. */
export const noteGivenUp = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  why: string,
): void => {
  const name = `${worker.report.id} ${why}`;
  const runs = owned.givenUp.get(name) ?? begin(turn, worker, why);
  owned.givenUp.set(name, runs);
  runs.count += 1;
  if (runs.first.length < GIVEN_UP.NAMED_RUNS) {
    runs.first.push(`${run.item.key} ${run.number}`);
  }
};

/** Writes a line for each worker and reason that runs were given up for. */
export const logGivenUp = (turn: Turn, owned: OwnedWork): void => {
  for (const runs of owned.givenUp.values()) {
    logLine(turn, "warn", "runs.givenUp", {
      worker: runs.worker,
      why: runs.why,
      address: runs.address,
      bornWallMs: runs.bornWallMs,
      sinceMs: loggedMs(turn.nowMs - runs.sinceMs),
      answerAgeMs: loggedMs(runs.answerAgeMs ?? Infinity),
      lookAgeMs: loggedMs(runs.lookAgeMs ?? Infinity),
      fence: Number(owned.fence),
      count: runs.count,
      first: runs.first.join(", "),
    });
  }
  owned.givenUp.clear();
};
