import type { RunEnd } from "./workerTypes.js";

/** A run end that a worker lists. */
export interface ListedEnd {
  readonly sequence: number;
  readonly item: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/**
 * The run ends that one incarnation of a worker lists until they are acknowledged. It keeps the
 * highest acknowledgement, so it forgets ends also if they come later.
 */
export class EndList {
  private listed: ListedEnd[] = [];
  private nextSequence = 1;
  /** Highest end that any call has acknowledged, also if it hasn't come yet. */
  private acknowledged = 0;
  /** Ends from before the lease expired, whose acknowledgement no longer counts. */
  private outdatedUpTo = 0;

  /**
   * Adds an end, and forgets it at once if it is acknowledged already.
   *
   * @returns The ends that are taken note of with it.
   */
  add(item: string, run: number, end: RunEnd, checkpoint: string): readonly ListedEnd[] {
    this.listed.push({ sequence: this.nextSequence, item, run, end, checkpoint });
    this.nextSequence += 1;
    return this.forget();
  }

  /**
   * Forgets the ends up to a number.
   *
   * @returns The ends that are taken note of by this.
   */
  acknowledge(sequence: number): readonly ListedEnd[] {
    this.acknowledged = Math.max(this.acknowledged, sequence);
    return this.forget();
  }

  /** Lets the acknowledgements of all present ends count for nothing, as an expired lease does. */
  outdate(): void {
    this.outdatedUpTo = this.nextSequence - 1;
  }

  get isEmpty(): boolean {
    return this.listed.length === 0;
  }

  /** Returns the oldest ends as rows of the worker's answers. */
  rows(max: number): readonly unknown[] {
    return this.listed
      .slice(0, max)
      .map(({ sequence, item, run, end, checkpoint }) => [sequence, item, run, end, checkpoint]);
  }

  private forget(): readonly ListedEnd[] {
    const forgotten = this.listed.filter(({ sequence }) => sequence <= this.acknowledged);
    this.listed = this.listed.filter(({ sequence }) => sequence > this.acknowledged);
    return forgotten.filter(({ sequence }) => sequence > this.outdatedUpTo);
  }
}
