import { markDirty } from "./dirtySubmissions.js";
import type { CapacityIndex } from "../placement/capacityIndex.js";
import type { FleetKinds } from "../placement/fleetKinds.js";
import type { Submission } from "../state.js";
import { logLine, type Turn } from "../turn.js";

/**
 * Determines for each step with ready items whether no worker can ever hold one, and logs the
 * obstacle when it is new.
 */
export const findObstacles = (turn: Turn, fleet: FleetKinds, submission: Submission): void => {
  const { row, readyByStep, obstacles } = submission;
  const before = obstacleOf(submission);
  row.work.steps.forEach((spec, step) => {
    const obstacle = (readyByStep[step] ?? 0) > 0 ? fleet.obstacleTo(turn, submission, spec) : null;
    if (obstacle === null) {
      obstacles.delete(step);
      return;
    }
    if (!obstacles.has(step)) {
      logLine(turn, "warn", "submission.unplaceable", { submission: row.id, step, obstacle });
    }
    obstacles.set(step, obstacle);
  });
  if (turn.work.owned !== null && obstacleOf(submission) !== before) {
    markDirty(turn.work.owned, submission);
  }
};

/** Returns what its callers are told when no worker can ever hold its next items; null otherwise. */
export const obstacleOf = (submission: Submission): string | null => {
  const [first] = submission.obstacles.values();
  return first === undefined || hasPlaceableItems(submission) ? null : first;
};

/** Whether a pool has workers with the label that a ready item of a submission requires, if any. */
export const hasItemsFor = (
  { row, readyByStep, obstacles }: Submission,
  workers: CapacityIndex,
): boolean =>
  row.work.steps.some(({ requiredLabel }, step) => {
    const isReady = (readyByStep[step] ?? 0) > 0 && !obstacles.has(step);
    return isReady && (requiredLabel === null || workers.hasLabel(requiredLabel));
  });

/** Whether a worker can hold any of the ready items of a submission. */
export const hasPlaceableItems = ({ readyByStep, obstacles }: Submission): boolean =>
  readyByStep.some((ready, step) => ready > 0 && !obstacles.has(step));
