import { LEARNING, RUN_TIMES_ROW, SAMPLES } from "./constants.js";
import type { KindHistory } from "./kindHistory.js";
import { KIND_LIMITS } from "./kindLimits.js";
import { KindTable } from "./kindTable.js";
import { hashOfText } from "@heatherferry/common";
import { LEVELS, SUBMISSION_LEVEL } from "./runKind.js";
import { logOf } from "./runTimeModel.js";
import { restoreLevels, storedLevels } from "./runTimesRow.js";
import type { Expectation, RunKind, RunTimesRow } from "./types.js";

/** Returns the expectation that rests on the caller's estimate alone. */
export const callersExpectation = (estimateMs: number): Expectation => ({
  expectedMs: estimateMs,
  upperMs: estimateMs,
  kind: null,
  samples: 0,
  ageMs: null,
});

/** Names of the levels that predict run times, the most specific first. */
const LEVEL_NAMES = [SUBMISSION_LEVEL, ...LEVELS.map(({ name }) => name)];

/** What is known of a kind, for operators. */
export interface KindSummary {
  readonly level: string;
  readonly key: string;
  readonly samples: number;
  readonly ageMs: number;
  /** Median of the run times. */
  readonly usualMs: number;
  /** Mean factors by which the estimates and the learned figures were off. */
  readonly estimateErrorFactor: number;
  readonly learnedErrorFactor: number;
  /** Whether the learned figure is used. */
  readonly used: boolean;
}

/**
 * Learns from runs that were done how long runs of their kind take. Answers the load of callers who
 * don't know how long their work runs: estimates that are off by a factor of five, both ways.
 */
export class RunTimeEstimates {
  /** Runs of the same step of the same work, whose estimates are what the levels expect of them. */
  private readonly submissions = new KindTable(
    KIND_LIMITS.SUBMISSION,
    SAMPLES.MAX_SUBMISSION_KINDS,
  );
  /** Kinds above the single submission, the most specific first. */
  private readonly levels = LEVELS.map(
    ({ spansTeams }) =>
      new KindTable(spansTeams ? KIND_LIMITS.SHARED : KIND_LIMITS.TEAM, SAMPLES.MAX_KINDS),
  );
  /** How long runs took, with a median of those of their step before as their estimate. */
  private readonly spreads = new KindTable(KIND_LIMITS.SPREAD, SAMPLES.MAX_KINDS);
  private readonly tables = [this.spreads, this.submissions, ...this.levels];
  private ends = 0;
  private changed = false;
  private nextRowAtMs = -Infinity;

  /**
   * Records a run that was done.
   *
   * @param estimateMs - What its caller estimated.
   */
  observe(kind: RunKind, durationMs: number, estimateMs: number, atMs: number): void {
    const { submissionKey, levelKeys, team } = kind;
    const expectedMs = this.expectByLevels(kind, estimateMs, atMs).expectedMs;
    const siblings = this.submissions.touch(submissionKey);
    this.ends += 1;
    this.observeSpread(kind, siblings, durationMs, atMs);
    siblings.observe({ source: this.ends, team, durationMs, estimateMs: expectedMs }, atMs);
    this.changed = true;
    if (!changesMedian(siblings.ends)) {
      return;
    }
    const medianMs = siblings.medianDurationMs();
    if (siblings.mediansMs.length < LEARNING.MAX_COMPARED_MEDIANS) {
      siblings.mediansMs.push(medianMs);
    }
    const sample = { source: hashOfText(submissionKey), team, durationMs: medianMs, estimateMs };
    this.levels.forEach((level, index) => {
      const key = levelKeys[index] ?? null;
      if (key !== null) {
        level.touch(key).observe(sample, atMs);
      }
    });
  }

  /**
   * Returns how long a run is expected to take: by the runs of its step that have ended, else by the
   * most specific of its kinds that has enough samples to tell whether the caller's estimate or what
   * was learned predicts better.
   *
   * @param estimateMs - What its caller estimated.
   */
  expect(kind: RunKind, estimateMs: number, nowMs: number): Expectation {
    const byLevels = this.expectByLevels(kind, estimateMs, nowMs);
    const siblings = this.submissions.get(kind.submissionKey);
    if (siblings === undefined) {
      return byLevels;
    }
    const expectation = siblings.isBetterThanEstimates
      ? learnedExpectation(kind.submissionKey, siblings, byLevels.expectedMs, nowMs)
      : byLevels;
    const upperMs = this.upperMs(kind, siblings) ?? byLevels.upperMs;
    return { ...expectation, upperMs: Math.max(expectation.upperMs, upperMs) };
  }

  /**
   * Records how much longer a run took than those of its step that had ended before: the shortest of
   * the runs that are under way end first, so these alone don't tell how long the others may take.
   */
  private observeSpread(
    { spreadKey, team }: RunKind,
    siblings: KindHistory,
    durationMs: number,
    atMs: number,
  ): void {
    siblings.mediansMs.forEach((estimateMs, index) => {
      const sample = { source: this.ends, team, durationMs, estimateMs };
      this.spreads.touch(`${spreadKey} ${index}`).observe(sample, atMs);
    });
  }

  /** Returns what few of the other runs of a step exceed, or null if that is not known. */
  private upperMs({ spreadKey }: RunKind, siblings: KindHistory): number | null {
    const index = siblings.mediansMs.length - 1;
    const medianMs = siblings.mediansMs[index];
    const spread = this.spreads.get(`${spreadKey} ${index}`);
    return medianMs !== undefined && spread?.decides === true
      ? Math.exp(spread.quantile(LEARNING.UPPER_QUANTILE, medianMs))
      : null;
  }

  private expectByLevels({ levelKeys }: RunKind, estimateMs: number, nowMs: number): Expectation {
    for (const [index, level] of this.levels.entries()) {
      const key = levelKeys[index] ?? null;
      const history = key === null ? undefined : level.get(key);
      if (key !== null && history?.decides === true) {
        const upperMs = Math.exp(history.quantile(LEARNING.UPPER_QUANTILE, estimateMs));
        return history.isBetterThanEstimates
          ? learnedExpectation(key, history, estimateMs, nowMs)
          : { ...callersExpectation(estimateMs), upperMs: Math.max(estimateMs, upperMs) };
      }
    }
    return callersExpectation(estimateMs);
  }

  /** Whether something was learned since the last row. */
  get hasChanged(): boolean {
    return this.changed;
  }

  /** Whether something was learned since the last row, and that row is old enough. */
  isRowDue(nowMs: number): boolean {
    return this.changed && nowMs >= this.nextRowAtMs;
  }

  /** Returns the row to store, of bounded size. */
  toRow(nowMs: number, wallMs: number): RunTimesRow {
    return {
      form: RUN_TIMES_ROW.FORM,
      writtenWallMs: Math.round(wallMs),
      levels: storedLevels(this.tables, nowMs),
    };
  }

  /**
   * Has the next row follow after an interval.
   *
   * @param isWritten - Whether the present one is part of a commit; it may not have fitted into it.
   */
  rowTaken(nowMs: number, isWritten: boolean): void {
    this.changed = !isWritten;
    this.nextRowAtMs = nowMs + RUN_TIMES_ROW.WRITE_INTERVAL_MS;
  }

  /** Has the row written again only much later, since the store has rejected it. */
  rowRejected(nowMs: number): void {
    this.changed = true;
    this.nextRowAtMs = nowMs + RUN_TIMES_ROW.RETRY_MS;
  }

  /**
   * Takes over what a previous owner has learned. What cannot be used of the row is left out.
   *
   * @param row - The row, whose values nobody has checked.
   */
  restore(row: RunTimesRow, nowMs: number, wallMs: number): void {
    restoreLevels(row, this.tables, nowMs, wallMs);
    // Sources of ends that this owner observes have to differ from those of the row.
    this.ends = hashOfText(String(row.writtenWallMs));
  }

  /** Returns what is known of each kind that predicts run times, the most specific first. */
  summary(nowMs: number): readonly KindSummary[] {
    return [this.submissions, ...this.levels].flatMap((table, index) => {
      const level = LEVEL_NAMES[index] ?? "";
      return table.newestFirst().map(([key, history]) => ({
        level,
        key,
        ...summaryOf(history, nowMs),
      }));
    });
  }
}

/**
 * Whether the median of a step may have changed noticeably: with ever fewer of its ends, so that a
 * step with many items costs little.
 */
const changesMedian = (ends: number): boolean => Number.isInteger(Math.log2(ends));

const summaryOf = (history: KindHistory, nowMs: number): Omit<KindSummary, "level" | "key"> => {
  const { learned, estimate } = history.meanErrors();
  return {
    samples: history.size,
    ageMs: nowMs - history.lastEndAtMs,
    usualMs: history.medianDurationMs(),
    estimateErrorFactor: Math.exp(estimate),
    learnedErrorFactor: Math.exp(learned),
    used: history.isBetterThanEstimates,
  };
};

/**
 * Returns the weight of a learned run time against the estimate: both are weighted by the inverse of
 * their variance, where that of a median falls with the number of samples.
 */
const weightOf = (history: KindHistory): number => {
  const { learned, estimate } = history.meanErrors();
  return estimate ** 2 / (estimate ** 2 + learned ** 2 / history.size);
};

const learnedExpectation = (
  kind: string,
  history: KindHistory,
  estimateMs: number,
  nowMs: number,
): Expectation => {
  const weight = weightOf(history);
  const blendedMs = (share: number): number =>
    Math.exp(weight * history.quantile(share, estimateMs) + (1 - weight) * logOf(estimateMs));
  return {
    expectedMs: blendedMs(LEARNING.EXPECTED_QUANTILE),
    upperMs: blendedMs(LEARNING.UPPER_QUANTILE),
    kind,
    samples: history.size,
    ageMs: nowMs - history.lastEndAtMs,
  };
};
