import type { EndLine, ItemKey, RunningLine } from "@heatherferry/core";

interface SiteRun {
  readonly item: ItemKey;
  readonly run: number;
  readonly beganAtMs: number;
  /** Infinity for long-running work. */
  readonly endsAtMs: number;
}

const percentAt = ({ beganAtMs, endsAtMs }: SiteRun, nowMs: number): number =>
  Number.isFinite(endsAtMs)
    ? Math.min(99, Math.floor((100 * (nowMs - beganAtMs)) / (endsAtMs - beganAtMs)))
    : 100;

/** Simulated worker: its runs, and the run ends that the owner hasn't acknowledged. */
export class SiteWorker {
  private readonly runs = new Map<ItemKey, SiteRun>();
  private ends: EndLine[] = [];
  private lastSequence = 0;

  constructor(readonly index: number) {}

  /** @returns Items that run on the worker. */
  items(): readonly ItemKey[] {
    return [...this.runs.keys()];
  }

  start(run: SiteRun): void {
    this.runs.set(run.item, run);
  }

  /**
   * Ends a run and lists its end in the answers to polls.
   *
   * @returns Whether the worker had the run.
   */
  end(item: ItemKey, run: number, kind: "done" | "stopped"): boolean {
    if (this.runs.get(item)?.run !== run) {
      return false;
    }
    this.runs.delete(item);
    this.lastSequence += 1;
    this.ends.push({ sequence: this.lastSequence, item, run, kind, checkpoint: "" });
    return true;
  }

  /**
   * Discards the acknowledged run ends and returns the answer to a poll.
   *
   * @param acknowledgedSequence - Highest sequence number that the owner has acknowledged.
   * @param nowMs - Time of the poll.
   */
  pollAnswer(
    acknowledgedSequence: number,
    nowMs: number,
  ): { readonly running: readonly RunningLine[]; readonly ends: readonly EndLine[] } {
    this.ends = this.ends.filter(({ sequence }) => sequence > acknowledgedSequence);
    const running = [...this.runs.values()].map((run) => ({
      item: run.item,
      run: run.run,
      checkpoint: "",
      percent: percentAt(run, nowMs),
      load: 400,
    }));
    return { running, ends: [...this.ends] };
  }
}
