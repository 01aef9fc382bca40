import { performance } from "node:perf_hooks";
import { usedHeapBytes } from "./heap.js";
import { submissionRowAt, SITE_WORKLOAD } from "./siteWorkload.js";
import { createSiteFleet, type SiteFleet } from "./siteFleet.js";

const WORKERS = [30, 100, 300, 1_000, 4_000, 11_418] as const;
const WAITING = [20, 500] as const;

const LIMIT = {
  /** Virtual time that is measured, and virtual time of the warm-up before it. */
  MEASURED_MS: 2_000,
  WARM_UP_MS: 500,
  /** Limit of the real time of each, since the owner may be slower than the virtual clock. */
  REAL_MS: 20_000,
  ACQUIRE_REAL_MS: 60_000,
} as const;

type Print = (line: string) => void;

const US_PER_MS = 1_000;

/**
 * Advances the clock and keeps `waiting` submissions in the backlog.
 *
 * @returns Virtual time that has passed, in ms.
 */
const advanceFor = (
  fleet: { owner: SiteFleet["owner"]; nextSubmission: number },
  waiting: number,
  forMs: number,
): number => {
  const { owner } = fleet;
  const startMs = performance.now();
  const fromMs = owner.nowMs;
  while (owner.nowMs - fromMs < forMs && performance.now() - startMs < LIMIT.REAL_MS) {
    for (let missing = waiting - owner.backlogSize(); missing > 0; missing -= 1) {
      const index = fleet.nextSubmission;
      fleet.nextSubmission += 1;
      owner.submit(submissionRowAt(index, index % SITE_WORKLOAD.POOLS, false, owner.nowMs));
    }
    owner.advance();
  }
  return owner.nowMs - fromMs;
};

/**
 * Advances the clock until the new owner is active and all workers are fenced.
 *
 * @returns Whether that happens within the time limit.
 */
const acquireOwnership = (fleet: SiteFleet, workers: number, print: Print): boolean => {
  const { owner } = fleet;
  const startMs = performance.now();
  const isServing = (): boolean => {
    const { owned } = owner.work;
    return owned?.active === true && owned.unfencedLeases.size === 0;
  };
  while (!isServing() && performance.now() - startMs < LIMIT.ACQUIRE_REAL_MS) {
    owner.advance();
  }
  if (!isServing()) {
    const unfenced = owner.work.owned?.unfencedLeases.size ?? workers;
    print(
      `${String(workers).padStart(6)} workers: ownership not acquired after ` +
        `${LIMIT.ACQUIRE_REAL_MS / 1_000} s, ${unfenced} workers unfenced`,
    );
    return false;
  }
  const loading = owner.costs.lines().filter(({ kind }) => kind.startsWith("scan "));
  const loadMs = loading.reduce((sum, line) => sum + line.meanUs * line.count, 0) / US_PER_MS;
  print(
    `${String(workers).padStart(6)} workers: acquiring ownership takes ${loadMs.toFixed(1)} ms for the ` +
      `stored rows, ${(owner.costs.totalUs() / US_PER_MS).toFixed(1)} ms until all workers are fenced`,
  );
  return true;
};

const measure = (
  fleet: { owner: SiteFleet["owner"]; nextSubmission: number },
  workers: number,
  waiting: number,
  print: Print,
): void => {
  const { owner } = fleet;
  advanceFor(fleet, waiting, LIMIT.WARM_UP_MS);
  owner.costs.clear();
  owner.rowBytes = 0;
  owner.rowsWritten = 0;
  const forMs = advanceFor(fleet, waiting, LIMIT.MEASURED_MS);
  const cores = owner.costs.totalUs() / US_PER_MS / forMs;
  const bytesPerS = (owner.rowBytes * 1_000) / forMs;
  const rowsPerS = (owner.rowsWritten * 1_000) / forMs;
  print(
    `${String(workers).padStart(6)} workers, ${waiting} waiting: ${cores.toFixed(3)} cores for the reducer, ` +
      `${rowsPerS.toFixed(0)} rows and ${(bytesPerS / 1_000).toFixed(0)} KB written per second ` +
      `(${forMs} ms of virtual time)`,
  );
  for (const { kind, count, medianUs, meanUs, steps } of owner.costs.lines()) {
    print(
      `         ${kind.padEnd(28)} ${medianUs.toFixed(1).padStart(10)} µs median ` +
        `${meanUs.toFixed(1).padStart(10)} mean ${steps.toFixed(0).padStart(8)} steps ` +
        `${String(count).padStart(7)} events`,
    );
  }
};

/**
 * Measures the owner's cost of serving submissions, by fleet size.
 *
 * @param print - Receives each line of the report.
 */
export const measureSubmissions = (print: Print): void => {
  for (const workers of WORKERS) {
    const before = usedHeapBytes();
    const fleet = { ...createSiteFleet(workers) };
    const siteBytes = usedHeapBytes() - before;
    if (!acquireOwnership(fleet, workers, print)) {
      continue;
    }
    const owned = usedHeapBytes() - before - siteBytes;
    print(
      `${String(workers).padStart(6)} workers: heap of the owner ${(owned / 1e6).toFixed(1)} MB, ` +
        `${(owned / workers / 1_000).toFixed(1)} KB per worker with its runs`,
    );
    for (const waiting of WAITING) {
      measure(fleet, workers, waiting, print);
    }
  }
};
