import { STORE, SUBMISSION_STATE } from "../constants.js";
import { markDirty } from "../submissions/dirtySubmissions.js";
import { dropHostOrders } from "../hosts/hostOrders.js";
import { markLeaseChanged } from "../store/leaseRows.js";
import { cancelPlannedStarts } from "../placement/starts.js";
import type { OwnedWork, OwnerCommit, Submission } from "../state.js";
import { hasEnded } from "../submissions/submissionStates.js";
import { endSubmission } from "../submissions/submissions.js";
import { logLine, type Turn } from "../turn.js";
import type { WorkerId } from "../types.js";

type Changes = OwnerCommit["changes"];

const rowCount = (changes: Changes): number =>
  changes.submissions.length +
  changes.previousLeases.size +
  changes.waves.length +
  changes.evacuations.length +
  changes.purged.length +
  (changes.runTimes ? 1 : 0);

/** Marks everything that a rejected commit would have recorded as changed again. */
const restoreChanges = ({ nowMs }: Turn, owned: OwnedWork, changes: Changes): void => {
  for (const submission of changes.submissions) {
    markDirty(owned, submission);
  }
  for (const [worker, lease] of changes.previousLeases) {
    if (lease === null) {
      owned.leases.delete(worker);
    } else {
      owned.leases.set(worker, lease);
    }
    markLeaseChanged(owned, worker);
  }
  for (const wave of changes.waves) {
    wave.dirty = true;
  }
  for (const record of changes.evacuations) {
    record.dirty = true;
  }
  for (const id of changes.purged) {
    owned.purgedSubmissions.add(id);
  }
  if (changes.runTimes) {
    owned.runTimes.rowRejected(nowMs);
  }
};

/**
 * Takes a submission out of service whose progress the store rejects. Its final row holds no
 * progress, so that its callers learn that it has failed.
 */
const withdrawSubmission = (turn: Turn, owned: OwnedWork, submission: Submission): void => {
  if (hasEnded(submission.state)) {
    submission.dirty = false;
    owned.dirtySubmissions.delete(submission);
    return;
  }
  endSubmission(
    turn,
    owned,
    submission,
    SUBMISSION_STATE.FAILED,
    "the store rejects its progress; hand it in again in smaller parts",
  );
};

/** Gives a worker no more work, since the store rejects the row of what runs there. */
const withdrawWorker = (owned: OwnedWork, id: WorkerId): void => {
  owned.changedLeases.delete(id);
  const worker = owned.workers.get(id);
  if (worker !== undefined) {
    worker.suspendedUntilMs = Infinity;
  }
};

/** Takes what the only row of a rejected commit describes out of service. */
const withdraw = (turn: Turn, owned: OwnedWork, changes: Changes): string => {
  const [submission] = changes.submissions;
  const [worker] = changes.previousLeases.keys();
  const [wave] = changes.waves;
  const [evacuation] = changes.evacuations;
  if (submission !== undefined) {
    withdrawSubmission(turn, owned, submission);
    return `progress of ${submission.row.id}`;
  }
  if (worker !== undefined) {
    withdrawWorker(owned, worker);
    return `lease row of ${worker}`;
  }
  if (wave !== undefined) {
    wave.dirty = false;
    return `report on wave ${wave.request.wave}`;
  }
  if (evacuation !== undefined) {
    evacuation.dirty = false;
    return `report on the evacuation of ${evacuation.report.zone}`;
  }
  changes.purged.forEach((id) => owned.purgedSubmissions.delete(id));
  if (changes.purged.length > 0) {
    return "removal of a purged submission";
  }
  return changes.runTimes ? "learned run times" : "owner row";
};

/**
 * Handles a commit that the store rejects for good, so that repeating it is in vain. Commits get
 * smaller until the row at fault is alone; what it describes is then taken out of service, and the
 * rest goes on.
 */
export const commitRejected = (
  turn: Turn,
  owned: OwnedWork,
  { changes, starts, orders, commit }: OwnerCommit,
  reason: string | null,
): void => {
  const rows = rowCount(changes);
  owned.commitInFlight = null;
  restoreChanges(turn, owned, changes);
  cancelPlannedStarts(turn, owned, starts);
  dropHostOrders(turn, owned, orders);
  owned.commitRowLimit = Math.max(1, Math.floor(rows / 2));
  logLine(turn, "error", "owner.commitRejected", {
    fence: Number(owned.fence),
    entries: commit.conditions.length + commit.writes.length + commit.removes.length,
    rows,
    atFault: rows > 1 ? null : withdraw(turn, owned, changes),
    reason,
  });
};

/** Lets commits grow again after one that the store has accepted. */
export const commitAccepted = (owned: OwnedWork): void => {
  owned.commitRowLimit = Math.min(STORE.MAX_ROWS, owned.commitRowLimit * 2);
};
