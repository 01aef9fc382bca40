import {
  END_KIND,
  START_RESULT,
  type EndKind,
  type EndLine,
  type ItemKey,
  type RunningLine,
  type StartResult,
  type WorkEffect,
  type WorkerReport,
} from "../../src/index.js";
import { BOUNDS } from "./siteFixtures.js";

/** A run on a simulated worker. */
export interface WorkerRun {
  readonly item: ItemKey;
  readonly run: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly endKind: EndKind;
  stopsAtMs: number | null;
}

const STOP_MS = 300;

/** Workers' clocks are 1% slow, which is within the tolerance that owners allow for. */
const CLOCK_RATE = 0.99;

/** Checks invariants on what workers do; its methods throw if one is violated. */
export abstract class WorkerInvariants {
  abstract started(worker: MemoryWorker, run: WorkerRun): void;
  abstract ended(end: EndLine): void;
  abstract acknowledged(end: EndLine): void;
}

/** A simulated worker with leases on its own clock, fencing tokens and numbered run ends. */
export class MemoryWorker {
  readonly runs = new Map<ItemKey, WorkerRun>();
  /**
   * Time after which long-running work has started up; null if the progress of runs counts to their
   * end.
   */
  startupMs: number | null = null;
  /** Load that it reports for all runs. */
  load: number | null = null;
  ends: EndLine[] = [];
  /** Run ends listed when the lease expired; acknowledgements of these are not checked. */
  private readonly outdatedEnds = new Set<EndLine>();
  private nextSequence = 1;
  private acknowledgedUpTo = 0;
  /** Whether it forgets ends also if they come after their acknowledgement. */
  forgetsLaterEnds = false;
  private fence = 0;
  private leaseUntilClockMs = 0;
  private readonly refusedRuns = new Map<ItemKey, number>();

  constructor(
    readonly report: WorkerReport,
    readonly startedAtMs: number,
    private readonly invariants: WorkerInvariants,
  ) {}

  clockMs(nowMs: number): number {
    return Math.floor((nowMs - this.startedAtMs) * CLOCK_RATE);
  }

  /** Ends the runs that are due, each for whichever reason came first. */
  advance(nowMs: number): void {
    const leaseEndsAtMs = this.leaseEndsAtMs();
    for (const run of [...this.runs.values()]) {
      const stopsAtMs = run.stopsAtMs ?? Infinity;
      const earliestEndMs = Math.min(run.endsAtMs, stopsAtMs, leaseEndsAtMs);
      if (earliestEndMs > nowMs) {
        continue;
      }
      if (earliestEndMs === run.endsAtMs) {
        this.end(run, run.endKind);
      } else {
        this.end(run, earliestEndMs === stopsAtMs ? END_KIND.STOPPED : END_KIND.LEASE_EXPIRED);
      }
    }
    if (leaseEndsAtMs <= nowMs) {
      this.ends.forEach((end) => this.outdatedEnds.add(end));
    }
  }

  /** Returns when its clock passes the end of its lease, on the simulation's clock. */
  private leaseEndsAtMs(): number {
    return this.startedAtMs + (this.leaseUntilClockMs + 1) / CLOCK_RATE;
  }

  start(
    order: Extract<WorkEffect, { type: "worker/start" }>,
    nowMs: number,
    durationMs: number,
    endKind: EndKind,
  ): { result: StartResult; reason: string | null } {
    this.advance(nowMs);
    if (Number(order.fence) < this.fence) {
      return { result: START_RESULT.STALE_FENCE, reason: "a newer fencing token was accepted" };
    }
    this.fence = Number(order.fence);
    if (order.untilClockMs <= this.clockMs(nowMs)) {
      return { result: START_RESULT.LEASE_EXPIRED, reason: "the granted lease has expired" };
    }
    this.grant(order.untilClockMs, nowMs);
    if (order.run <= (this.refusedRuns.get(order.item) ?? 0)) {
      return { result: START_RESULT.ALREADY_ENDED, reason: "the run was stopped or has ended" };
    }
    if (!this.runs.has(order.item)) {
      const { item, run } = order;
      const newRun = {
        item,
        run,
        startedAtMs: nowMs,
        endsAtMs: nowMs + durationMs,
        endKind,
        stopsAtMs: null,
      };
      this.invariants.started(this, newRun);
      this.runs.set(item, newRun);
    }
    return { result: START_RESULT.STARTED, reason: null };
  }

  stop(order: Extract<WorkEffect, { type: "worker/stop" }>, nowMs: number): boolean {
    this.advance(nowMs);
    if (Number(order.fence) < this.fence) {
      return false;
    }
    this.fence = Number(order.fence);
    this.refuse(order.item, order.run);
    const run = this.runs.get(order.item);
    if (run?.run === order.run) {
      run.stopsAtMs ??= nowMs + STOP_MS;
    }
    return true;
  }

  poll(
    order: Extract<WorkEffect, { type: "worker/look" }>,
    nowMs: number,
  ): { running: readonly RunningLine[]; ends: readonly EndLine[] } | null {
    this.advance(nowMs);
    if (Number(order.fence) < this.fence) {
      return null;
    }
    this.fence = Number(order.fence);
    this.grant(order.untilClockMs ?? 0, nowMs);
    this.acknowledgedUpTo = Math.max(this.acknowledgedUpTo, order.acknowledgedSequence);
    this.forgetAcknowledged();
    this.acknowledgedUpTo = this.forgetsLaterEnds ? this.acknowledgedUpTo : 0;
    // Runs that are being stopped use resources but aren't listed.
    const running = [...this.runs.values()]
      .filter(({ stopsAtMs }) => stopsAtMs === null)
      .map(({ item, run, startedAtMs, endsAtMs }) => ({
        item,
        run,
        checkpoint: "",
        percent: Math.min(
          100,
          Math.floor((100 * (nowMs - startedAtMs)) / (this.startupMs ?? endsAtMs - startedAtMs)),
        ),
        load: this.load,
      }));
    return { running, ends: [...this.ends] };
  }

  /** Extends the lease, up to the longest term that workers accept. */
  private grant(untilClockMs: number, nowMs: number): void {
    const longestMs = this.clockMs(nowMs) + BOUNDS.holdMaxMs;
    this.leaseUntilClockMs = Math.max(this.leaseUntilClockMs, Math.min(untilClockMs, longestMs));
  }

  /** Forgets the ends that are acknowledged. */
  private forgetAcknowledged(): void {
    for (const end of this.ends) {
      if (end.sequence <= this.acknowledgedUpTo && !this.outdatedEnds.has(end)) {
        this.invariants.acknowledged(end);
      }
    }
    this.ends = this.ends.filter(({ sequence }) => sequence > this.acknowledgedUpTo);
  }

  private end(run: WorkerRun, kind: EndKind): void {
    this.runs.delete(run.item);
    this.refuse(run.item, run.run);
    const end = { sequence: this.nextSequence, item: run.item, run: run.run, kind, checkpoint: "" };
    this.ends.push(end);
    this.invariants.ended(end);
    this.nextSequence += 1;
    this.forgetAcknowledged();
  }

  private refuse(item: ItemKey, run: number): void {
    this.refusedRuns.set(item, Math.max(run, this.refusedRuns.get(item) ?? 0));
  }
}

/** Returns submission id, occurrence, step and index from an item's key. */
export const partsOf = (item: ItemKey): readonly [string, number, number, number] => {
  const [id, occurrence, step, index] = item.split(".");
  return [id ?? "", Number(occurrence), Number(step), Number(index)];
};
