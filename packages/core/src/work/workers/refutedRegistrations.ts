import { refutes, startedBefore } from "../hosts/hostWorkers.js";
import type { OwnedWork, Worker } from "../state.js";
import { logLine, type Turn } from "../turn.js";
import type { WorkerReport } from "../types.js";

/**
 * Logs a registration that a worker has refuted by an answer, once for each id until it is gone.
 *
 * @param worker - The worker that its host runs, or that has its id.
 */
export const logRefuted = (
  turn: Turn,
  owned: OwnedWork,
  { id, host, address, startWallMs }: WorkerReport,
  { report }: Worker,
): void => {
  if (owned.refutedRegistrations.has(id)) {
    return;
  }
  owned.refutedRegistrations.add(id);
  logLine(turn, "warn", "worker.registrationRefuted", {
    registration: id,
    host,
    address,
    startWallMs,
    worker: report.id,
    workerAddress: report.address,
    workerStartWallMs: report.startWallMs,
  });
};

/**
 * Logs the registrations for a worker's host that it has refuted. Those of workers that ran there
 * before it are no news: they expire late.
 */
export const logRefutedOnHost = (turn: Turn, owned: OwnedWork, worker: Worker): void => {
  const { host } = worker.report;
  const others = host === null ? undefined : owned.workersByHost.get(host);
  for (const other of others ?? []) {
    if (refutes(worker, other) && !startedBefore(other, worker)) {
      logRefuted(turn, owned, other.report, worker);
    }
  }
};
