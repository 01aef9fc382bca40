import { LEARNING } from "./constants.js";
import type { RunSample } from "./types.js";

/** Returns the logarithm in which run times are compared: errors are factors. */
export const logOf = (ms: number): number => Math.log(Math.max(1, ms));

const meanOf = (values: Float64Array): number => {
  let sum = 0;
  for (const value of values) {
    sum += value;
  }
  return sum / values.length;
};

/**
 * Returns how far durations follow estimates, from 0 (they are unrelated) to 1 (they are
 * proportional): the slope of the linear regression of their logarithms.
 */
const slopeOf = (estimates: Float64Array, durations: Float64Array): number => {
  const meanEstimate = meanOf(estimates);
  const meanDuration = meanOf(durations);
  let variance = 0;
  let covariance = 0;
  estimates.forEach((estimate, index) => {
    const deviation = estimate - meanEstimate;
    variance += deviation ** 2;
    covariance += deviation * ((durations[index] ?? meanDuration) - meanDuration);
  });
  return variance < LEARNING.MIN_ESTIMATE_VARIANCE * estimates.length
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
   * @param samples - At least one.
   * @param followsEstimates - Whether durations may follow estimates; else these don't count.
   */
  constructor(samples: readonly RunSample[], followsEstimates: boolean) {
    const estimates = Float64Array.from(samples, ({ estimateMs }) => logOf(estimateMs));
    const durations = Float64Array.from(samples, ({ durationMs }) => logOf(durationMs));
    const slope = followsEstimates ? slopeOf(estimates, durations) : 0;
    this.slope = slope;
    this.residuals = durations
      .map((duration, index) => duration - slope * (estimates[index] ?? 0))
      .sort();
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
