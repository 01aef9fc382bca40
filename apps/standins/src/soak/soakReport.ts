import { SOAK } from "./constants.js";
import { isOwed, soundWorkers, usedShare } from "./starvationRule.js";
import type { PlannedFault, SoakReport, SoakState, SubmissionRecord } from "./types.js";

const HUNDREDTHS = 100;

const runsOf = ({ items }: SubmissionRecord): number =>
  [...items.values()].reduce((sum, { runs }) => sum + runs, 0);

/**
 * Returns what a soak found.
 *
 * @param seed - The seed of the soak.
 * @param struck - The faults that struck, in order.
 */
export const soakReportOf = (
  state: SoakState,
  seed: number,
  struck: readonly PlannedFault[],
): SoakReport => {
  const accepted = [...state.submissions.values()].filter(
    ({ acceptedAtMs }) => acceptedAtMs !== null,
  );
  const { kinds, pools } = state.plan;
  return {
    seed,
    accepted: accepted.length,
    refused: state.refused,
    completed: accepted.filter((one) => !isOwed(one) && !one.exhausted && !one.cancelled).length,
    exhausted: accepted.filter(({ exhausted }) => exhausted).length,
    open: Object.fromEntries(
      kinds.map((kind) => [
        kind.name,
        accepted.filter((one) => one.kind === kind && isOwed(one)).length,
      ]),
    ),
    runs: accepted.reduce((sum, one) => sum + runsOf(one), 0),
    starvedInTraffic: accepted.filter((one) => one.longestStarvedMs >= SOAK.MAX_STARVED_MS).length,
    usedAtEnd: Object.fromEntries(
      pools
        .filter(({ standby }) => !standby)
        .map(({ name }) => [
          name,
          Math.round(usedShare(soundWorkers(state, name)) * HUNDREDTHS) / HUNDREDTHS,
        ]),
    ),
    faults: struck.map(({ kind, atMs }) => `${Math.round(atMs - state.startedAtMs)} ms ${kind}`),
    findings: state.findings,
  };
};
