import { STORE } from "../constants.js";
import type { CommitBudget } from "../ownership/commitBudget.js";
import type { EvacuationRecord } from "../evacuation/index.js";
import type { RowName, RowToWrite } from "../events.js";
import { leaseRowChanges, selectStarts } from "./leaseRows.js";
import { takeRunTimesRow } from "./runTimesRows.js";
import { takePurgedRows } from "../submissions/purge.js";
import type { MaintenanceWave, OwnedWork, OwnerCommit, Run, Submission } from "../state.js";
import { progressOf } from "./progressRows.js";
import { logLine, type Turn } from "../turn.js";

/** The rows that an owner commit changes beside the owner row, and what they record. */
export interface CommitRows {
  readonly writes: readonly RowToWrite[];
  readonly removes: readonly RowName[];
  readonly changes: OwnerCommit["changes"];
  /** Runs whose start orders may be sent afterwards. */
  readonly starts: readonly Run[];
  /** Whether no changed submission is left for a later commit. */
  readonly takesAllDirty: boolean;
}

const takeDirtySubmissions = (
  owned: OwnedWork,
  budget: CommitBudget,
): { rows: RowToWrite[]; submissions: Submission[] } => {
  const rows: RowToWrite[] = [];
  const submissions: Submission[] = [];
  for (const submission of owned.dirtySubmissions) {
    const row = { type: "progress" as const, progress: progressOf(submission) };
    if (!budget.takeWrite(row)) {
      break;
    }
    owned.storesWindows ||= row.progress.window !== undefined;
    rows.push(row);
    submissions.push(submission);
  }
  for (const submission of submissions) {
    submission.dirty = false;
    owned.dirtySubmissions.delete(submission);
  }
  return { rows, submissions };
};

const waveReport = (wave: MaintenanceWave): RowToWrite => ({
  type: "waveReport",
  wave: wave.request.wave,
  completed: wave.completed,
  seenWallMs: wave.seenWallMs,
  doneHosts: [...wave.doneHosts],
});

const takeDirtyWaves = (
  owned: OwnedWork,
  budget: CommitBudget,
): { rows: RowToWrite[]; waves: MaintenanceWave[] } => {
  const rows: RowToWrite[] = [];
  const waves: MaintenanceWave[] = [];
  for (const wave of owned.waves.values()) {
    const row = wave.dirty ? waveReport(wave) : null;
    if (row === null) {
      continue;
    }
    if (!budget.takeWrite(row)) {
      break;
    }
    wave.dirty = false;
    rows.push(row);
    waves.push(wave);
  }
  return { rows, waves };
};

/** Takes changed reports on evacuations, which alone are no reason for a commit. */
const takeDirtyEvacuations = (
  { evacuationRecords }: OwnedWork,
  budget: CommitBudget,
): { rows: RowToWrite[]; records: EvacuationRecord[] } => {
  const rows: RowToWrite[] = [];
  const records: EvacuationRecord[] = [];
  for (const record of evacuationRecords.values()) {
    const row: RowToWrite = { type: "evacuationReport", report: record.report };
    if (record.dirty && budget.takeWrite(row)) {
      record.dirty = false;
      rows.push(row);
      records.push(record);
    }
  }
  return { rows, records };
};

/** Whether any wave has changed since it was last reported. */
export const hasDirtyWaves = (owned: OwnedWork): boolean => {
  for (const wave of owned.waves.values()) {
    if (wave.dirty) {
      return true;
    }
  }
  return false;
};

/** Logs that a commit could not take all dirty submissions, which defers run ends to the next. */
const logCommitTruncated = (turn: Turn, owned: OwnedWork): void => {
  let endsDeferred = 0;
  for (const { seenSequence, durableSequence } of owned.workersWithUnpersistedEnds) {
    endsDeferred += seenSequence - durableSequence;
  }
  logLine(turn, "warn", "owner.commitTruncated", {
    fence: Number(owned.fence),
    submissions: owned.dirtySubmissions.size,
    endsDeferred,
  });
};

/** Whether commits are kept small because the store has rejected one for good. */
export const isIsolating = ({ commitRowLimit }: OwnedWork): boolean =>
  commitRowLimit < STORE.MAX_ROWS;

/**
 * Takes the changed rows that fit into one commit: those of workers with new runs first, then
 * submissions, other workers, purged submissions, waves, evacuations and learned run times. The
 * rest waits for the next commit.
 */
export const takeCommitRows = (turn: Turn, owned: OwnedWork, budget: CommitBudget): CommitRows => {
  const planned = isIsolating(owned) ? [] : owned.plannedStarts;
  const { selected, workers, deferred } = selectStarts(owned, planned, budget);
  if (!isIsolating(owned)) {
    owned.plannedStarts = deferred;
  }
  const { rows, submissions } = takeDirtySubmissions(owned, budget);
  const takesAllDirty = owned.dirtySubmissions.size === 0;
  if (!takesAllDirty) {
    logCommitTruncated(turn, owned);
  }
  const leases = leaseRowChanges(turn, owned, workers, budget, takesAllDirty);
  const purged = takePurgedRows(owned, budget);
  const waves = takeDirtyWaves(owned, budget);
  const evacuations = takeDirtyEvacuations(owned, budget);
  const runTimes = isIsolating(owned) ? null : takeRunTimesRow(turn, owned, budget);
  return {
    writes: [
      ...leases.writes,
      ...rows,
      ...waves.rows,
      ...evacuations.rows,
      ...(runTimes === null ? [] : [runTimes]),
    ],
    removes: [...leases.removes, ...purged.rows],
    changes: {
      submissions,
      previousLeases: leases.previous,
      waves: waves.waves,
      evacuations: evacuations.records,
      purged: purged.ids,
      runTimes: runTimes !== null,
    },
    starts: selected,
    takesAllDirty,
  };
};
