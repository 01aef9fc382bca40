import { queueId, teamId } from "@heatherferry/common";
import { RunTimeEstimates, runKindOf, type Expectation, type RunKind } from "../../../src/index.js";

/** A run that a test has end, with what its caller estimated. */
export interface PlayedRun {
  readonly durationMs: number;
  readonly estimateMs: number;
}

let submissions = 0;

/** Returns the kind of a run of a submission of its own. */
export const kindOf = (team = "lots", queue = "mills", step = 0): RunKind => {
  submissions += 1;
  return runKindOf({
    queue: queueId(queue),
    team: teamId(team),
    image: null,
    step,
    payloadHash: submissions,
  });
};

/** Repeatable numbers from 0 to 1 that cover that range evenly. */
export const evenShare = (index: number): number => (index * 0.618_033_988_75) % 1;

/** Estimates and the runs that they are of, each of a submission of its own. */
export class Learner {
  nowMs = 0;

  constructor(readonly estimates = new RunTimeEstimates()) {}

  /** Has one run end for each of some submissions. */
  play(count: number, runOf: (index: number) => PlayedRun, team?: string, queue?: string): void {
    for (let index = 0; index < count; index += 1) {
      const { durationMs, estimateMs } = runOf(index);
      this.end(kindOf(team, queue), durationMs, estimateMs);
    }
  }

  end(kind: RunKind, durationMs: number, estimateMs: number): void {
    this.nowMs += 100;
    this.estimates.observe(kind, durationMs, estimateMs, this.nowMs);
  }

  /** Returns what is expected of the run of a new submission. */
  expect(estimateMs: number, team?: string, queue?: string): Expectation {
    return this.estimates.expect(kindOf(team, queue), estimateMs, this.nowMs);
  }
}
