import { END_KIND, ITEM_PHASE } from "../constants.js";
import { gangMembers } from "../placement/gangs.js";
import type { Item, OwnedWork, Run, Worker } from "../state.js";
import type { Turn } from "../turn.js";
import type { EndKind } from "../types.js";

/** Whether every run of a gang is on one rack. */
const isOnOneRack = (owned: OwnedWork, runs: readonly Run[]): boolean =>
  new Set(runs.map(({ worker }) => owned.workers.get(worker)?.report.rack)).size === 1;

/**
 * Whether a run took as long as its kind does by itself: it wasn't resumed from a checkpoint, paced
 * or placed away from its data.
 */
const isUndisturbed = (worker: Worker, { item: { spec }, checkpoint }: Run): boolean =>
  checkpoint === null &&
  !spec.filler &&
  (spec.preferredRack === null || spec.preferredRack === worker.report.rack);

/** Returns the runs whose work ends together with a run: those of its gang, or itself. */
const jointRuns = (run: Run): readonly Run[] =>
  run.item.spec.gang
    ? gangMembers(run.item).flatMap((member) =>
        member.run?.number === run.number ? [member.run] : [],
      )
    : [run];

/**
 * Returns when a run started, or null if that is not known: a run that a previous owner ordered was
 * under way before this one heard of it. A suspension of the machine hides how long it lasted.
 */
const startedAtMs = (turn: Turn, { startSentAtMs, confirmedAtMs }: Run): number | null => {
  const startMs = startSentAtMs === null ? null : (confirmedAtMs ?? startSentAtMs);
  return startMs === null || startMs <= turn.work.clockJumpedAtMs ? null : startMs;
};

/** Returns when all runs had started, or null if that is not known of one of them. */
const allStartedAtMs = (turn: Turn, runs: readonly Run[]): number | null => {
  let latestMs = -Infinity;
  for (const run of runs) {
    const startMs = startedAtMs(turn, run);
    if (startMs === null) {
      return null;
    }
    latestMs = Math.max(latestMs, startMs);
  }
  return Number.isFinite(latestMs) ? latestMs : null;
};

const isFirstEnd = ({ phase, spec }: Item): boolean => phase !== ITEM_PHASE.DONE && !spec.lasting;

/**
 * Learns from a booked run that ended how long runs of its kind take. Only runs that were done tell;
 * those that failed, were stopped, lost their lease or were slowed down don't.
 */
export const learnFromEnd = (
  turn: Turn,
  owned: OwnedWork,
  worker: Worker,
  run: Run,
  end: EndKind,
): void => {
  const { item } = run;
  const kind = item.submission.runTimes.kinds[item.step];
  if (end !== END_KIND.DONE || kind === undefined || !isFirstEnd(item)) {
    return;
  }
  const runs = jointRuns(run);
  const startMs = allStartedAtMs(turn, runs);
  const isSpread = item.spec.rackLocal && !isOnOneRack(owned, runs);
  if (startMs !== null && !isSpread && isUndisturbed(worker, run)) {
    owned.runTimes.observe(kind, turn.nowMs - startMs, item.spec.estimateMs, turn.nowMs);
  }
};
