import { LEARNING, SAMPLES } from "./constants.js";
import { logOf, RunTimeModel, type RunLogs } from "./runTimeModel.js";
import type { KindLimits } from "./kindLimits.js";
import type { RunSample } from "./types.js";

const MAX_ERROR = Math.log(LEARNING.MAX_ERROR_FACTOR);

/** Returns the error of a prediction: the logarithm of the factor that it is off by. */
const errorOf = (predicted: number, actual: number): number =>
  Math.min(MAX_ERROR, Math.abs(predicted - actual));

/** A sample with the logarithms that it is compared by. */
interface Entry extends RunLogs {
  readonly sample: RunSample;
  readonly source: number;
  readonly team: number;
  readonly predicted: number | null;
}

/** Mean errors of predictions, as logarithms of factors. */
export interface MeanErrors {
  readonly learned: number;
  /** Of the estimates of the same runs. */
  readonly estimate: number;
}

/** The newest samples of one kind of run. */
export class KindHistory {
  private readonly entries: Entry[] = [];
  private model: RunTimeModel | null = null;
  /** Samples added since the model was built. */
  private modelAge = 0;
  /** Sums over the entries with a prediction. */
  private scored = 0;
  private learnedErrors = 0;
  private estimateErrors = 0;
  /** Run ends so far, also of samples that were replaced or forgotten. */
  ends = 0;
  /** Median of the run times after 1, 2, 4, ... ends, if the kind is a step of a submission. */
  readonly mediansMs: number[] = [];

  /** @param lastEndAtMs - When the newest end was observed. */
  constructor(
    private readonly limits: KindLimits,
    public lastEndAtMs = -Infinity,
  ) {}

  get size(): number {
    return this.entries.length;
  }

  /** Returns samples at even distances, the newest among them, oldest first. */
  evenlySpaced(maxCount: number): readonly RunSample[] {
    const distance = Math.ceil(this.size / maxCount);
    return this.entries
      .filter((_, index) => (this.size - 1 - index) % distance === 0)
      .map(({ sample }) => sample);
  }

  /** Adds a sample, which replaces an earlier one of the same source. */
  observe(sample: Omit<RunSample, "predictedMs">, atMs: number): void {
    const index = this.limits.replacesSamples
      ? this.entries.findLastIndex(({ source }) => source === sample.source)
      : -1;
    const predictedMs =
      index < 0 ? this.predictMs(sample.estimateMs) : this.removeAt(index).predictedMs;
    this.add({ ...sample, predictedMs });
    this.ends += 1;
    this.lastEndAtMs = atMs;
  }

  /** Adds a sample and forgets the oldest one if there are too many. */
  add(sample: RunSample): void {
    const { durationMs, estimateMs, predictedMs, source, team } = sample;
    const entry = {
      sample,
      source,
      team,
      duration: logOf(durationMs),
      estimate: logOf(estimateMs),
      predicted: predictedMs === null ? null : logOf(predictedMs),
    };
    this.entries.push(entry);
    this.score(entry, 1);
    const { maxOfTeam } = this.limits;
    if (maxOfTeam < SAMPLES.MAX && this.countOf(team) > maxOfTeam) {
      this.removeAt(this.entries.findIndex((other) => other.team === team));
    } else if (this.size > SAMPLES.MAX) {
      this.removeAt(0);
    }
    this.modelAge += 1;
  }

  /** Whether enough is known to tell which predicts better: the estimate or what was learned. */
  get decides(): boolean {
    const { minSamples, minScores, minTeams } = this.limits;
    return (
      this.size >= minSamples &&
      this.scored >= minScores &&
      (minTeams === 1 || this.countTeams() >= minTeams)
    );
  }

  /** Whether what was learned has predicted better than the estimates did. */
  get isBetterThanEstimates(): boolean {
    return this.learnedErrors < LEARNING.MAX_ERROR_SHARE * this.estimateErrors && this.decides;
  }

  /** Returns the errors of the predictions of the samples; 0 if there were none. */
  meanErrors(): MeanErrors {
    const count = Math.max(1, this.scored);
    return { learned: this.learnedErrors / count, estimate: this.estimateErrors / count };
  }

  /** Returns a quantile of the run time of a run with an estimate, as its logarithm. */
  quantile(share: number, estimateMs: number): number {
    return this.currentModel().quantile(share, estimateMs);
  }

  /** Returns the median of the run times, in ms. */
  medianDurationMs(): number {
    const durations = this.entries.map(({ sample }) => sample.durationMs);
    durations.sort((one, other) => one - other);
    return durations[Math.floor(durations.length / 2)] ?? 0;
  }

  /** Returns the model, which is built anew once enough of its samples have changed. */
  private currentModel(): RunTimeModel {
    if (this.model === null || this.modelAge > this.size / SAMPLES.PER_MODEL_CHANGE) {
      this.model = new RunTimeModel(this.entries, this.limits.followsEstimates);
      this.modelAge = 0;
    }
    return this.model;
  }

  private predictMs(estimateMs: number): number | null {
    return this.size === 0 || !this.limits.scoresPredictions
      ? null
      : Math.exp(this.quantile(LEARNING.EXPECTED_QUANTILE, estimateMs));
  }

  private removeAt(index: number): RunSample {
    const [entry] = this.entries.splice(index, 1);
    if (entry === undefined) {
      throw new RangeError(`there is no sample ${index}; pass the index of one of the samples`);
    }
    this.score(entry, -1);
    return entry.sample;
  }

  private score({ duration, estimate, predicted }: Entry, sign: 1 | -1): void {
    if (predicted !== null) {
      this.scored += sign;
      this.learnedErrors += sign * errorOf(predicted, duration);
      this.estimateErrors += sign * errorOf(estimate, duration);
    }
  }

  private countOf(team: number): number {
    let count = 0;
    for (const entry of this.entries) {
      count += entry.team === team ? 1 : 0;
    }
    return count;
  }

  private countTeams(): number {
    return new Set(this.entries.map(({ team }) => team)).size;
  }
}
