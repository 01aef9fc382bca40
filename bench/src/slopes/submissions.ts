import { performance } from "node:perf_hooks";
import { usedHeapBytes } from "./heap.js";
import { handInAt, SITE_MIX } from "./siteMix.js";
import { siteFleet, type SiteFleet } from "./siteFleet.js";

const WORKERS = [30, 100, 300, 1_000, 4_000, 11_418] as const;
const WAITING = [20, 500] as const;

const LIMIT = {
  /** Virtual time measured, and before it without being measured. */
  MEASURED_MS: 2_000,
  WARM_UP_MS: 500,
  /** Real time for each of them, where the owner is slower than the virtual clock. */
  REAL_MS: 20_000,
  TAKE_OVER_REAL_MS: 60_000,
} as const;

type Say = (line: string) => void;

const US_PER_MS = 1_000;

/** Keeps so many submissions waiting while the clock turns. */
const run = (
  fleet: { owner: SiteFleet["owner"]; nextSubmission: number },
  waiting: number,
  forMs: number,
): number => {
  const { owner } = fleet;
  const startMs = performance.now();
  const fromMs = owner.nowMs;
  while (owner.nowMs - fromMs < forMs && performance.now() - startMs < LIMIT.REAL_MS) {
    for (let missing = waiting - owner.waiting(); missing > 0; missing -= 1) {
      const index = fleet.nextSubmission;
      fleet.nextSubmission += 1;
      owner.submit(handInAt(index, index % SITE_MIX.POOLS, false, owner.nowMs));
    }
    owner.step();
  }
  return owner.nowMs - fromMs;
};

/**
 * Turns the clock until the new owner has heard all workers.
 *
 * @returns Whether it has in the time that this may take.
 */
const takeOver = (fleet: SiteFleet, workers: number, say: Say): boolean => {
  const { owner } = fleet;
  const startMs = performance.now();
  const isServing = (): boolean => {
    const { owned } = owner.work;
    return owned?.active === true && owned.unfencedLeases.size === 0;
  };
  while (!isServing() && performance.now() - startMs < LIMIT.TAKE_OVER_REAL_MS) {
    owner.step();
  }
  if (!isServing()) {
    const left = owner.work.owned?.unfencedLeases.size ?? workers;
    say(
      `${String(workers).padStart(6)} workers: take-over not done after ` +
        `${LIMIT.TAKE_OVER_REAL_MS / 1_000} s of processor, ${left} workers unheard`,
    );
    return false;
  }
  const loading = owner.costs.lines().filter(({ kind }) => kind.startsWith("scan "));
  const loadMs = loading.reduce((sum, line) => sum + line.meanUs * line.count, 0) / US_PER_MS;
  say(
    `${String(workers).padStart(6)} workers: take-over ${loadMs.toFixed(1)} ms of processor for ` +
      `what was read, ${(owner.costs.totalUs() / US_PER_MS).toFixed(1)} ms until all are heard`,
  );
  return true;
};

const measure = (
  fleet: { owner: SiteFleet["owner"]; nextSubmission: number },
  workers: number,
  waiting: number,
  say: Say,
): void => {
  const { owner } = fleet;
  run(fleet, waiting, LIMIT.WARM_UP_MS);
  owner.costs.clear();
  owner.rowBytes = 0;
  owner.rowsWritten = 0;
  const forMs = run(fleet, waiting, LIMIT.MEASURED_MS);
  const cores = owner.costs.totalUs() / US_PER_MS / forMs;
  const bytesPerS = (owner.rowBytes * 1_000) / forMs;
  const rowsPerS = (owner.rowsWritten * 1_000) / forMs;
  say(
    `${String(workers).padStart(6)} workers, ${waiting} waiting: ${cores.toFixed(3)} cores of decisions, ` +
      `${rowsPerS.toFixed(0)} rows and ${(bytesPerS / 1_000).toFixed(0)} KB written a second ` +
      `(${forMs} ms played)`,
  );
  for (const { kind, count, medianUs, meanUs, steps } of owner.costs.lines()) {
    say(
      `         ${kind.padEnd(28)} ${medianUs.toFixed(1).padStart(10)} µs median ` +
        `${meanUs.toFixed(1).padStart(10)} mean ${steps.toFixed(0).padStart(8)} steps ` +
        `${String(count).padStart(7)} events`,
    );
  }
};

/**
 * What serving submissions costs the owner, by the size of the fleet.
 *
 * @param say - Takes a line of the report.
 */
export const measureSubmissions = (say: Say): void => {
  for (const workers of WORKERS) {
    const before = usedHeapBytes();
    const fleet = { ...siteFleet(workers) };
    const site = usedHeapBytes() - before;
    if (!takeOver(fleet, workers, say)) {
      continue;
    }
    const owned = usedHeapBytes() - before - site;
    say(
      `${String(workers).padStart(6)} workers: heap of the owner ${(owned / 1e6).toFixed(1)} MB, ` +
        `${(owned / workers / 1_000).toFixed(1)} KB a worker with its runs`,
    );
    for (const waiting of WAITING) {
      measure(fleet, workers, waiting, say);
    }
  }
};
