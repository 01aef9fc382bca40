import type { EndLine, ItemKey, RunningLine } from "@heatherferry/core";

interface SiteRun {
  readonly item: ItemKey;
  readonly run: number;
  readonly beganAtMs: number;
  /** Infinity for work that lasts. */
  readonly endsAtMs: number;
}

const percentAt = ({ beganAtMs, endsAtMs }: SiteRun, nowMs: number): number =>
  Number.isFinite(endsAtMs)
    ? Math.min(99, Math.floor((100 * (nowMs - beganAtMs)) / (endsAtMs - beganAtMs)))
    : 100;

/** A worker as far as the owner's decisions see it. */
export class SiteWorker {
  private readonly runs = new Map<ItemKey, SiteRun>();
  private ends: EndLine[] = [];
  private lastSequence = 0;

  constructor(readonly index: number) {}

  /** @returns Items that run here. */
  items(): readonly ItemKey[] {
    return [...this.runs.keys()];
  }

  start(run: SiteRun): void {
    this.runs.set(run.item, run);
  }

  /** @returns Whether the run was here, so that its end is listed now. */
  end(item: ItemKey, run: number, kind: "done" | "stopped"): boolean {
    if (this.runs.get(item)?.run !== run) {
      return false;
    }
    this.runs.delete(item);
    this.lastSequence += 1;
    this.ends.push({ sequence: this.lastSequence, item, run, kind, checkpoint: "" });
    return true;
  }

  /** @returns What a look shows, once it has acknowledged ends. */
  shown(
    notedSequence: number,
    nowMs: number,
  ): { readonly running: readonly RunningLine[]; readonly ends: readonly EndLine[] } {
    this.ends = this.ends.filter(({ sequence }) => sequence > notedSequence);
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
