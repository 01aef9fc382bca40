import { RUN_END, WORKER_BOUND } from "./workerConstants.js";
import type { RunEnd, WorkText } from "./workerTypes.js";

/** A run on a simulated worker. */
export interface SimulatedRun {
  readonly run: number;
  readonly startedAtMs: number;
  /** Null for a run that goes on until it is stopped. */
  readonly workMs: number | null;
  readonly checkpoint: string;
  readonly makesProgress: boolean;
  stopping: boolean;
  timer: NodeJS.Timeout | null;
}

/** What decides how a run goes. */
interface RunConditions {
  readonly spec: string;
  /** Below the submission's failure share, the run fails. */
  readonly chance: number;
  readonly failsAll: boolean;
  readonly stalls: boolean;
}

const isHopeless = (item: string, { hopelessStep }: WorkText): boolean =>
  hopelessStep !== null && item.endsWith(`.0.${hopelessStep}.0`);

/** Times the ends of the runs of a simulated worker. */
export class RunTimers {
  constructor(private readonly onEnd: (item: string, end: RunEnd) => void) {}

  begin(item: string, run: number, conditions: RunConditions, checkpoint: string): SimulatedRun {
    const text = JSON.parse(conditions.spec) as WorkText;
    const fails =
      conditions.failsAll || conditions.chance < text.failureShare || isHopeless(item, text);
    const started: SimulatedRun = {
      run,
      startedAtMs: performance.now(),
      workMs: text.workMs,
      checkpoint,
      makesProgress: !conditions.stalls,
      stopping: false,
      timer: null,
    };
    const afterMs = conditions.failsAll
      ? WORKER_BOUND.FAIL_AT_ONCE_MS
      : (text.workMs ?? (fails ? text.failAfterMs : null));
    if (afterMs !== null && !conditions.stalls) {
      this.endAfter(item, started, fails ? RUN_END.FAILED : RUN_END.DONE, afterMs);
    }
    return started;
  }

  /** Stops a run, which takes a moment. */
  stop(item: string, run: SimulatedRun): void {
    if (!run.stopping) {
      run.stopping = true;
      this.cancel(run);
      this.endAfter(item, run, RUN_END.STOPPED, WORKER_BOUND.STOP_MS);
    }
  }

  cancel({ timer }: SimulatedRun): void {
    clearTimeout(timer ?? undefined);
  }

  /** Returns how far a run has got, in percent; a long-running item is at work at 100. */
  percentOf({ workMs, startedAtMs, makesProgress }: SimulatedRun): number {
    if (!makesProgress) {
      return 0;
    }
    return workMs === null
      ? 100
      : Math.min(99, Math.floor((100 * (performance.now() - startedAtMs)) / workMs));
  }

  private endAfter(item: string, run: SimulatedRun, end: RunEnd, afterMs: number): void {
    run.timer = setTimeout(() => {
      this.onEnd(item, end);
    }, afterMs);
  }
}
