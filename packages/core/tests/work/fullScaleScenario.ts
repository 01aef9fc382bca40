import { generateSubmissions, type Load } from "./fullScaleLoad.js";
import { FullScaleSite, type SubmissionOutcome } from "./fullScaleSite.js";
import { WaitMonitor } from "./waitMonitor.js";

/** A power loss of the owner, or of all nodes with enough processor time to be the owner. */
export interface PowerLoss {
  readonly of: "owner" | "strongNodes";
  readonly atMs: number;
  /** Infinite if they do not come back. */
  readonly forMs: number;
}

/** Definition of a full-scale scenario. */
export interface FullScaleScenario {
  readonly seed: number;
  /** Loads in the order of time. */
  readonly loads: readonly Load[];
  /** Null if no node loses power. */
  readonly powerLoss: PowerLoss | null;
  /** Time from which submissions that wait despite free capacity are recorded. */
  readonly monitorFromMs: number;
}

/** Time after the last load, long enough for the last submissions to miss their deadline. */
const TAIL_MS = 5_000;

/** Result of a full-scale scenario. */
export interface ScenarioResult {
  readonly site: FullScaleSite;
  /** Longest time for which a submission waited despite free capacity, in ms. */
  readonly needlessWaitMs: number;
  /** Fraction of the time in which the owner's processor was busy while callers submitted work. */
  readonly ownerBusyShare: number;
}

const isOnTime = ({ demand, completedAtMs, targetDurationMs }: SubmissionOutcome): boolean =>
  completedAtMs !== null && completedAtMs - demand.atMs <= targetDurationMs;

/** Returns the fraction of the submissions within a period that completed by their deadline. */
export const onTimeShare = (
  { site }: ScenarioResult,
  { fromMs, untilMs }: Omit<Load, "times">,
): number => {
  const outcomes = [...site.outcomes.values()].filter(
    ({ demand }) => demand.atMs >= fromMs && demand.atMs < untilMs,
  );
  return outcomes.filter(isOnTime).length / outcomes.length;
};

const schedulePowerLoss = (site: FullScaleSite, { of, atMs, forMs }: PowerLoss): void => {
  site.schedule(atMs, () => {
    const lost = of === "owner" ? [site.ownerIndex()] : site.ownerCandidates;
    lost.forEach((node) => {
      site.kill(node, forMs);
    });
  });
};

/**
 * Runs a full-scale scenario.
 *
 * @param processorPrice - Factor on the usual processor time of events; null if they take none.
 */
export const runFullScale = (
  scenario: FullScaleScenario,
  processorPrice: number | null,
): ScenarioResult => {
  const site = new FullScaleSite(scenario.seed, processorPrice);
  site.scheduleSubmissions(generateSubmissions(scenario.seed, scenario.loads));
  const waitMonitor = new WaitMonitor(site, scenario.monitorFromMs);
  if (scenario.powerLoss !== null) {
    schedulePowerLoss(site, scenario.powerLoss);
  }
  const fromMs = scenario.loads[0]?.fromMs ?? 0;
  const untilMs = scenario.loads.at(-1)?.untilMs ?? 0;
  site.run(fromMs);
  const busyBeforeMs = site.ownerBusyMs();
  site.run(untilMs - fromMs);
  const ownerBusyShare = (site.ownerBusyMs() - busyBeforeMs) / (untilMs - fromMs);
  site.run(TAIL_MS);
  return { site, needlessWaitMs: waitMonitor.maxWaitMs, ownerBusyShare };
};
