import { LEARNING, SAMPLES } from "./constants.js";

/** What the samples of a kind have in common, and when there are enough to learn from. */
export interface KindLimits {
  /** Whether estimates of runs of the kind may differ, so that durations may follow them. */
  readonly followsEstimates: boolean;
  /** Whether a later sample of a source replaces an earlier one; else each sample has its own. */
  readonly replacesSamples: boolean;
  /** Whether predictions are compared with the run time, to tell whether estimates are better. */
  readonly scoresPredictions: boolean;
  readonly minSamples: number;
  /** Predictions that have been compared with the run time. */
  readonly minScores: number;
  readonly minTeams: number;
  readonly maxOfTeam: number;
}

/**
 * Limits of kinds within a submission, of kinds of one team, of kinds that span teams, and of what
 * tells how runs differ from the first ones of their step.
 */
export const KIND_LIMITS = {
  SUBMISSION: {
    followsEstimates: false,
    replacesSamples: false,
    scoresPredictions: true,
    minSamples: LEARNING.MIN_SUBMISSION_SAMPLES,
    minScores: LEARNING.MIN_SUBMISSION_SCORES,
    minTeams: 1,
    maxOfTeam: SAMPLES.MAX,
  },
  TEAM: {
    followsEstimates: true,
    replacesSamples: true,
    scoresPredictions: true,
    minSamples: LEARNING.MIN_SAMPLES,
    minScores: LEARNING.MIN_SCORES,
    minTeams: 1,
    maxOfTeam: SAMPLES.MAX,
  },
  SHARED: {
    followsEstimates: true,
    replacesSamples: true,
    scoresPredictions: true,
    minSamples: LEARNING.MIN_SAMPLES,
    minScores: LEARNING.MIN_SCORES,
    minTeams: LEARNING.MIN_TEAMS,
    maxOfTeam: SAMPLES.MAX_OF_TEAM,
  },
  SPREAD: {
    followsEstimates: true,
    replacesSamples: false,
    scoresPredictions: false,
    minSamples: LEARNING.MIN_SAMPLES,
    minScores: 0,
    minTeams: 1,
    maxOfTeam: SAMPLES.MAX,
  },
} as const satisfies Readonly<Record<string, KindLimits>>;
