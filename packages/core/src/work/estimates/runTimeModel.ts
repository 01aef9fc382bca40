import { LEARNING } from "./constants.js";

/** Returns the logarithm in which run times are compared: errors are factors. */
export const logOf = (ms: number): number => Math.log(Math.max(1, ms));

/** Logarithms of the duration of a run and of its estimate. */
export interface RunLogs {
  readonly duration: number;
  readonly estimate: number;
}

/**
 * Returns how far durations follow estimates, from 0 (they are unrelated) to 1 (they are
 * proportional): the slope of the linear regression of their logarithms.
 */
const slopeOf = (runs: readonly RunLogs[]): number => {
  let estimateSum = 0;
  let durationSum = 0;
  for (const { estimate, duration } of runs) {
    estimateSum += estimate;
    durationSum += duration;
  }
  let variance = 0;
  let covariance = 0;
  for (const { estimate, duration } of runs) {
    const deviation = estimate - estimateSum / runs.length;
    variance += deviation * deviation;
    covariance += deviation * (duration - durationSum / runs.length);
  }
  return variance < LEARNING.MIN_ESTIMATE_VARIANCE * runs.length
    ? 1
    : Math.min(1, Math.max(0, covariance / variance));
};

/**
 * Predicts the durations of runs from their estimates: the estimate to the power of `slope`, times a
 * quantile of what durations were relative to that.
 */
export class RunTimeModel {
  private readonly slope: number;
  /** Sorted logarithms of durations relative to the estimate to the power of the slope. */
  private readonly residuals: Float64Array;

  /**
   * @param runs - At least one.
   * @param followsEstimates - Whether durations may follow estimates; else these don't count.
   */
  constructor(runs: readonly RunLogs[], followsEstimates: boolean) {
    this.slope = followsEstimates ? slopeOf(runs) : 0;
    this.residuals = new Float64Array(runs.length);
    runs.forEach(({ duration, estimate }, index) => {
      this.residuals[index] = duration - this.slope * estimate;
    });
    this.residuals.sort();
  }

  /**
   * Returns the logarithm of a quantile of the duration.
   *
   * @param share - Share of the runs that are shorter, from 0 to 1.
   */
  quantile(share: number, estimateMs: number): number {
    const place = share * (this.residuals.length - 1);
    const below = this.residuals[Math.floor(place)] ?? NaN;
    const above = this.residuals[Math.ceil(place)] ?? NaN;
    const residual = below + (above - below) * (place - Math.floor(place));
    return residual + this.slope * logOf(estimateMs);
  }
}
