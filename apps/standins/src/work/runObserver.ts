import type { RunEnd } from "./workerTypes.js";

/** Hears what really runs on a worker, whoever ordered it. */
export abstract class RunObserver {
  abstract runStarted(worker: string, item: string): void;
  abstract runEnded(worker: string, item: string, run: number, end: RunEnd): void;
  /** An end was acknowledged, before or after it came, and the worker forgets it. */
  abstract endAcknowledged(worker: string, item: string, run: number, end: RunEnd): void;
}
