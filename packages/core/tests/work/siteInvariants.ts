import type { AvailabilityZoneId } from "@heatherferry/common";
import {
  END_KIND,
  type EndLine,
  type SubmissionRow,
  type ItemKey,
  type Resources,
} from "../../src/index.js";
import { partsOf, type MemoryWorker, type WorkerRun } from "./memoryWorker.js";
import { SiteClock } from "./siteClock.js";
import { CATALOG, TEAM_CEILING } from "./siteFixtures.js";

const MAX_ATTEMPTS = CATALOG.queues[0]?.maxAttempts ?? 1;

/** Checks invariants against what simulated workers do, and throws if one is violated. */
export abstract class SiteInvariants extends SiteClock {
  readonly workers = new Map<string, MemoryWorker>();
  starts = 0;
  /** When the evacuation of zones was requested, and how long starts may go on there. */
  protected readonly evacuatedSinceMs = new Map<AvailabilityZoneId, number>();
  protected evacuationMs = Infinity;
  protected readonly submissionRows = new Map<string, SubmissionRow>();
  private readonly acknowledgedDone = new Set<ItemKey>();
  private readonly done = new Set<ItemKey>();
  private readonly doneEnds = new Map<ItemKey, EndLine[]>();
  /** Successful run ends after which the item was started again. */
  private readonly restarted = new Set<EndLine>();
  private readonly failed = new Map<ItemKey, number>();

  override started(worker: MemoryWorker, run: WorkerRun): void {
    this.starts += 1;
    const [id, occurrence, step] = partsOf(run.item);
    const row = this.submissionRows.get(id);
    const spec = row?.work.steps[step];
    if (spec === undefined) {
      throw new Error(`${run.item} was started but never submitted`);
    }
    if (row?.pool !== worker.report.pool) {
      throw new Error(`${run.item} was started on ${worker.report.id}, a worker of another pool`);
    }
    const unfinishedStep = spec.after.find((dependency) =>
      Array.from({ length: this.submissionRows.get(id)?.work.steps[dependency]?.count ?? 0 }).some(
        (_, index) => !this.done.has(`${id}.${occurrence}.${dependency}.${index}` as ItemKey),
      ),
    );
    if (unfinishedStep !== undefined) {
      throw new Error(`${run.item} was started before step ${unfinishedStep} was done`);
    }
    if (this.acknowledgedDone.has(run.item)) {
      throw new Error(`${run.item} was started as run ${run.run} after its end was acknowledged`);
    }
    this.doneEnds.get(run.item)?.forEach((end) => this.restarted.add(end));
    // Runs of long-running items are not limited.
    if (!spec.lasting && (this.failed.get(run.item) ?? 0) >= MAX_ATTEMPTS) {
      throw new Error(`${run.item} was started as run ${run.run} after its last attempt failed`);
    }
    this.checkZone(worker, run);
    this.checkRunStart(worker, run);
  }

  private checkZone(worker: MemoryWorker, run: WorkerRun): void {
    const sinceMs = this.evacuatedSinceMs.get(worker.report.availabilityZone) ?? Infinity;
    if (this.nowMs - sinceMs > this.evacuationMs) {
      throw new Error(
        `${run.item} was started on ${worker.report.id}, ${this.nowMs - sinceMs} ms after the ` +
          `evacuation of ${worker.report.availabilityZone}`,
      );
    }
  }

  protected checkRunStart(worker: MemoryWorker, run: WorkerRun): void {
    let teamCpu = this.cpuMilliOf(run.item);
    for (const other of this.workers.values()) {
      other.advance(this.nowMs);
      if (other.runs.has(run.item)) {
        throw new Error(`${run.item} runs on ${worker.report.id} and ${other.report.id}`);
      }
      teamCpu += [...other.runs.keys()].reduce((sum, item) => sum + this.cpuMilliOf(item), 0);
    }
    this.checkCapacity(worker, run);
    // Checks what runs, since a crash frees a team's capacity before any node knows of it.
    if (teamCpu > TEAM_CEILING.cpuMilli * 1.1 + this.cpuMilliOf(run.item)) {
      throw new Error(`${run.item} brings the team to ${teamCpu} milli-cores, above its ceiling`);
    }
  }

  /** Checks capacity, with runs that are being stopped, without the processor time of fillers. */
  protected checkCapacity(worker: MemoryWorker, run: WorkerRun): void {
    const { capacity, id } = worker.report;
    const items = [...worker.runs.keys(), run.item];
    for (const resource of ["cpuMilli", "memoryMb", "gpus"] as const) {
      const used = items.reduce((sum, item) => sum + this.needOf(item, resource), 0);
      if (used > capacity[resource]) {
        throw new Error(`${run.item} brings ${id} to ${used} of ${capacity[resource]} ${resource}`);
      }
    }
  }

  private needOf(item: ItemKey, resource: keyof Resources): number {
    const [id, , step] = partsOf(item);
    const spec = this.submissionRows.get(id)?.work.steps[step];
    return spec === undefined || (spec.filler && resource === "cpuMilli")
      ? 0
      : spec.needs[resource];
  }

  /** Whether an item is done by the end of a run; long-running items never are. */
  private completes({ item, kind }: EndLine): boolean {
    const [id, , step] = partsOf(item);
    return (
      kind === END_KIND.DONE && this.submissionRows.get(id)?.work.steps[step]?.lasting !== true
    );
  }

  override ended(end: EndLine): void {
    if (this.completes(end)) {
      this.done.add(end.item);
      this.doneEnds.set(end.item, [...(this.doneEnds.get(end.item) ?? []), end]);
    }
  }

  override acknowledged(end: EndLine): void {
    if (this.completes(end)) {
      this.acknowledgedDone.add(end.item);
      if (this.restarted.has(end)) {
        throw new Error(
          `${end.item} was started after its run end, which is acknowledged only now`,
        );
      }
    } else if (end.kind === END_KIND.FAILED) {
      this.failed.set(end.item, (this.failed.get(end.item) ?? 0) + 1);
    }
  }

  protected cpuMilliOf(item: ItemKey): number {
    const [id, , step] = partsOf(item);
    return this.submissionRows.get(id)?.work.steps[step]?.needs.cpuMilli ?? 0;
  }
}
