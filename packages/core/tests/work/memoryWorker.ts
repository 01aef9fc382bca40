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

export interface WorkerRun {
  readonly item: ItemKey;
  readonly run: number;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly how: EndKind;
  stopsAtMs: number | null;
}

const STOP_MS = 300;

/** Its clock is 1% slow, within what workers' clocks may be. */
const CLOCK_RATE = 0.99;

/** Judges what a worker does; throws where a promise is broken. */
export abstract class WorkerJudge {
  abstract started(worker: MemoryWorker, run: WorkerRun): void;
  abstract ended(end: EndLine): void;
  abstract noted(end: EndLine): void;
}

/** A worker in memory: leases on its own clock, fences, numbered ends. */
export class MemoryWorker {
  readonly runs = new Map<ItemKey, WorkerRun>();
  /** Lasting work is at work so long after its start; null where runs progress to their end. */
  startupMs: number | null = null;
  /** Load that it lists for all runs. */
  load: number | null = null;
  ends: EndLine[] = [];
  /** Ends that were listed when the lease ran out; an acknowledgement of these says nothing. */
  private readonly outdatedEnds = new Set<EndLine>();
  private nextEnd = 1;
  private fence = 0;
  private leaseUntilClockMs = 0;
  private readonly refusedRuns = new Map<ItemKey, number>();

  constructor(
    readonly report: WorkerReport,
    readonly bornAtMs: number,
    private readonly judge: WorkerJudge,
  ) {}

  clockMs(nowMs: number): number {
    return Math.floor((nowMs - this.bornAtMs) * CLOCK_RATE);
  }

  /** Ends what is over, each run by whatever came first. */
  advance(nowMs: number): void {
    const lapsesAtMs = this.lapsesAtMs();
    for (const run of [...this.runs.values()]) {
      const stopsAtMs = run.stopsAtMs ?? Infinity;
      const overAtMs = Math.min(run.endsAtMs, stopsAtMs, lapsesAtMs);
      if (overAtMs > nowMs) {
        continue;
      }
      if (overAtMs === run.endsAtMs) {
        this.end(run, run.how);
      } else {
        this.end(run, overAtMs === stopsAtMs ? END_KIND.STOPPED : END_KIND.LAPSED);
      }
    }
    if (lapsesAtMs <= nowMs) {
      this.ends.forEach((end) => this.outdatedEnds.add(end));
    }
  }

  /** @returns When its clock passes the end of its lease. */
  private lapsesAtMs(): number {
    return this.bornAtMs + (this.leaseUntilClockMs + 1) / CLOCK_RATE;
  }

  start(
    order: Extract<WorkEffect, { type: "worker/start" }>,
    nowMs: number,
    durationMs: number,
    how: EndKind,
  ): { result: StartResult; reason: string | null } {
    this.advance(nowMs);
    if (Number(order.fence) < this.fence) {
      return { result: START_RESULT.STALE_FENCE, reason: "fence" };
    }
    this.fence = Number(order.fence);
    if (order.untilClockMs <= this.clockMs(nowMs)) {
      return { result: START_RESULT.LEASE_OVER, reason: "late" };
    }
    this.grant(order.untilClockMs, nowMs);
    if (order.run <= (this.refusedRuns.get(order.item) ?? 0)) {
      return { result: START_RESULT.OVER_BEFORE, reason: "old" };
    }
    if (!this.runs.has(order.item)) {
      const { item, run } = order;
      const begun = {
        item,
        run,
        startedAtMs: nowMs,
        endsAtMs: nowMs + durationMs,
        how,
        stopsAtMs: null,
      };
      this.judge.started(this, begun);
      this.runs.set(item, begun);
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

  look(
    order: Extract<WorkEffect, { type: "worker/look" }>,
    nowMs: number,
  ): { running: readonly RunningLine[]; ends: readonly EndLine[] } | null {
    this.advance(nowMs);
    if (Number(order.fence) < this.fence) {
      return null;
    }
    this.fence = Number(order.fence);
    this.grant(order.untilClockMs ?? 0, nowMs);
    for (const end of this.ends) {
      if (end.sequence <= order.notedSequence && !this.outdatedEnds.has(end)) {
        this.judge.noted(end);
      }
    }
    this.ends = this.ends.filter(({ sequence }) => sequence > order.notedSequence);
    // What is being stopped takes room but is not listed.
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

  /** Takes a longer lease; one that is too long is cut. */
  private grant(untilClockMs: number, nowMs: number): void {
    const longestMs = this.clockMs(nowMs) + BOUNDS.holdMaxMs;
    this.leaseUntilClockMs = Math.max(this.leaseUntilClockMs, Math.min(untilClockMs, longestMs));
  }

  private end(run: WorkerRun, kind: EndKind): void {
    this.runs.delete(run.item);
    this.refuse(run.item, run.run);
    const end = { sequence: this.nextEnd, item: run.item, run: run.run, kind, checkpoint: "" };
    this.ends.push(end);
    this.judge.ended(end);
    this.nextEnd += 1;
  }

  private refuse(item: ItemKey, run: number): void {
    this.refusedRuns.set(item, Math.max(run, this.refusedRuns.get(item) ?? 0));
  }
}

/** @returns The parts of an item's key. */
export const partsOf = (item: ItemKey): readonly [string, number, number, number] => {
  const [id, occurrence, step, index] = item.split(".");
  return [id ?? "", Number(occurrence), Number(step), Number(index)];
};
