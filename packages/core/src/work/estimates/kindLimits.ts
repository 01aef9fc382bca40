import { LEARNING, SAMPLES } from "./constants.js";

/** What the samples of a kind have in common, and when there are enough to learn from. */
export interface KindLimits {
  /** Whether estimates of runs of the kind may differ, so that durations may follow them. */
  readonly followsEstimates: boolean;
  readonly minSamples: number;
  /** Predictions that have been compared with the run time. */
  readonly minScores: number;
  readonly minTeams: number;
  readonly maxOfTeam: number;
}

/** Limits of kinds within a submission, of kinds of one team, and of kinds that span teams. */
export const KIND_LIMITS = {
  SUBMISSION: {
    followsEstimates: false,
    minSamples: LEARNING.MIN_SUBMISSION_SAMPLES,
    minScores: LEARNING.MIN_SUBMISSION_SCORES,
    minTeams: 1,
    maxOfTeam: SAMPLES.MAX,
  },
  TEAM: {
    followsEstimates: true,
    minSamples: LEARNING.MIN_SAMPLES,
    minScores: LEARNING.MIN_SCORES,
    minTeams: 1,
    maxOfTeam: SAMPLES.MAX,
  },
  SHARED: {
    followsEstimates: true,
    minSamples: LEARNING.MIN_SAMPLES,
    minScores: LEARNING.MIN_SCORES,
    minTeams: LEARNING.MIN_TEAMS,
    maxOfTeam: SAMPLES.MAX_OF_TEAM,
  },
} as const satisfies Readonly<Record<string, KindLimits>>;
