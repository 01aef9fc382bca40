import type { AvailabilityZoneId } from "@heatherferry/common";
import { countSteps } from "../handlingCost.js";
import {
  EVACUATION,
  EVACUATION_STATE,
  forgetReturned,
  hasOpenReports,
  runsLeft,
  updateReports,
  type EvacuationReport,
  type RemainingWork,
} from "../evacuation/index.js";
import type { OwnedWork, Run } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import { mayStop } from "./eviction.js";

/** Returns the figure that counts a run in an evacuated zone, by what the run waits for. */
const figureOf = (turn: Turn, owned: OwnedWork, run: Run): keyof Omit<RemainingWork, "workers"> => {
  if (!run.item.spec.lasting) {
    return "batchRuns";
  }
  if (!mayStop(turn, owned, run)) {
    return "heldRuns";
  }
  return run.item.reservedWorker === null ? "unplacedRuns" : "movingRuns";
};

/** Returns what still runs in a zone, with runs of which the owner knows only that they run. */
const remainingWork = (turn: Turn, owned: OwnedWork, zone: AvailabilityZoneId): RemainingWork => {
  const work = { workers: 0, batchRuns: 0, movingRuns: 0, heldRuns: 0, unplacedRuns: 0 };
  countSteps(turn, owned.workers.size);
  for (const worker of owned.workers.values()) {
    if (worker.report.availabilityZone !== zone) {
      continue;
    }
    work.workers += 1;
    work.batchRuns += worker.orphanedRuns.size;
    for (const run of worker.runs.values()) {
      work[figureOf(turn, owned, run)] += 1;
    }
  }
  return work;
};

const logReport = (turn: Turn, report: EvacuationReport): void => {
  const { zone, state, workers, sinceWallMs } = report;
  if (state !== EVACUATION_STATE.EMPTYING) {
    logLine(turn, "info", `evacuation.${state}`, {
      zone,
      since: new Date(sinceWallMs).toISOString(),
      workers,
      afterMs: Math.round(turn.wallMs - sinceWallMs),
    });
  }
};

/** Logs how much work is left in a zone. */
const logProgress = (turn: Turn, report: EvacuationReport): void => {
  logLine(turn, "info", "evacuation.progress", {
    zone: report.zone,
    since: new Date(report.sinceWallMs).toISOString(),
    workers: report.workers,
    runs: runsLeft(report),
    batchRuns: report.batchRuns,
    movingRuns: report.movingRuns,
    heldRuns: report.heldRuns,
    unplacedRuns: report.unplacedRuns,
  });
};

/** Updates the reports on evacuations, which the next owner commits store, and logs changes. */
export const reportEvacuations = (turn: Turn, owned: OwnedWork): void => {
  const { evacuations } = turn.work;
  forgetReturned(evacuations, turn.nowMs);
  const { evacuationRecords } = owned;
  // Before previous leases have ended or their workers have answered, not all runs are known.
  if (
    owned.unfencedLeases.size > 0 ||
    turn.nowMs - owned.evacuationsReportedAtMs < EVACUATION.REPORT_INTERVAL_MS ||
    !hasOpenReports(evacuationRecords, evacuations)
  ) {
    return;
  }
  owned.evacuationsReportedAtMs = turn.nowMs;
  const changed = updateReports(evacuationRecords, evacuations, (zone) =>
    remainingWork(turn, owned, zone),
  );
  changed.forEach((report) => {
    logReport(turn, report);
  });
  for (const { report } of evacuationRecords.values()) {
    if (report.state === EVACUATION_STATE.EMPTYING) {
      logProgress(turn, report);
    }
  }
};
