import { LEARNING, SAMPLES } from "./constants.js";
import { logOf, RunTimeModel } from "./runTimeModel.js";
import type { RunSample } from "./types.js";

const MAX_ERROR = Math.log(LEARNING.MAX_ERROR_FACTOR);

/** Returns the error of a prediction, as the logarithm of the factor that it is off by. */
const errorOf = (predictedMs: number, durationMs: number): number =>
  Math.min(MAX_ERROR, Math.abs(logOf(predictedMs) - logOf(durationMs)));

/** When a kind has enough samples to be learned from. */
export interface KindLimits {
  /** Whether estimates of runs of the kind may differ, so that durations may follow them. */
  readonly followsEstimates: boolean;
  readonly minSamples: number;
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

/** Mean errors of predictions, as logarithms of factors. */
export interface MeanErrors {
  readonly learned: number;
  /** Of the estimates of the same runs. */
  readonly estimate: number;
}

/** The newest samples of one kind of run. */
export class KindHistory {
  private readonly samples: RunSample[] = [];
  /** Null until it is needed after a change. */
  private model: RunTimeModel | null = null;
  private errors: MeanErrors | null = null;
  private decided: boolean | null = null;
  /** Ends so far, also of samples that were replaced or forgotten. */
  ends = 0;

  /** @param lastEndAtMs - When the newest end was observed. */
  constructor(
    private readonly limits: KindLimits,
    public lastEndAtMs = -Infinity,
  ) {}

  get size(): number {
    return this.samples.length;
  }

  /** Returns the newest samples, oldest first. */
  newest(maxCount: number): readonly RunSample[] {
    return this.samples.slice(-maxCount);
  }

  /** Adds a sample, which replaces an earlier one of the same source. */
  observe(sample: Omit<RunSample, "predictedMs">, atMs: number): void {
    const index = this.samples.findIndex(({ source }) => source === sample.source);
    const [previous] = index < 0 ? [] : this.samples.splice(index, 1);
    const predictedMs =
      previous === undefined ? this.predictMs(sample.estimateMs) : previous.predictedMs;
    this.add({ ...sample, predictedMs });
    this.ends += 1;
    this.lastEndAtMs = atMs;
  }

  /** Adds a sample and forgets the oldest one if there are too many. */
  add(sample: RunSample): void {
    this.samples.push(sample);
    if (this.countOf(sample.team) > this.limits.maxOfTeam) {
      this.samples.splice(
        this.samples.findIndex(({ team }) => team === sample.team),
        1,
      );
    } else if (this.size > SAMPLES.MAX) {
      this.samples.shift();
    }
    this.model = null;
    this.errors = null;
    this.decided = null;
  }

  /** Whether enough is known to tell which predicts better: the estimate or what was learned. */
  get decides(): boolean {
    this.decided ??= this.hasEnoughSamples();
    return this.decided;
  }

  /** Whether what was learned has predicted better than the estimates did. */
  get isBetterThanEstimates(): boolean {
    const { learned, estimate } = this.meanErrors();
    return this.decides && learned < LEARNING.MAX_ERROR_SHARE * estimate;
  }

  /** Returns the errors of the predictions of the samples. */
  meanErrors(): MeanErrors {
    this.errors ??= this.computeErrors();
    return this.errors;
  }

  /** Returns a quantile of the run time of a run with an estimate, as its logarithm. */
  quantile(share: number, estimateMs: number): number {
    this.model ??= new RunTimeModel(this.samples, this.limits.followsEstimates);
    return this.model.quantile(share, estimateMs);
  }

  /** Returns the median of the run times, in ms. */
  medianDurationMs(): number {
    const durations = this.samples.map(({ durationMs }) => durationMs);
    durations.sort((one, other) => one - other);
    return durations[Math.floor(durations.length / 2)] ?? 0;
  }

  private countOf(team: number): number {
    return this.samples.reduce((count, sample) => count + (sample.team === team ? 1 : 0), 0);
  }

  private predictMs(estimateMs: number): number | null {
    return this.size === 0 ? null : Math.exp(this.quantile(LEARNING.EXPECTED_QUANTILE, estimateMs));
  }

  private hasEnoughSamples(): boolean {
    const { minSamples, minScores, minTeams } = this.limits;
    return (
      this.size >= minSamples &&
      this.samples.filter(({ predictedMs }) => predictedMs !== null).length >= minScores &&
      (minTeams === 1 || new Set(this.samples.map(({ team }) => team)).size >= minTeams)
    );
  }

  private computeErrors(): MeanErrors {
    let scored = 0;
    let learned = 0;
    let estimate = 0;
    for (const { durationMs, estimateMs, predictedMs } of this.samples) {
      if (predictedMs !== null) {
        scored += 1;
        learned += errorOf(predictedMs, durationMs);
        estimate += errorOf(estimateMs, durationMs);
      }
    }
    return { learned: learned / scored, estimate: estimate / scored };
  }
}
