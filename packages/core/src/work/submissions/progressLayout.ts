import type { WorkSpec } from "../types.js";

/** An item of a submission that ends by itself, by its place. */
export interface ItemPlace {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/**
 * Numbers the items of a submission that end by themselves: occurrence by occurrence, and in each
 * step by step. Items that last have no number, since they are never done.
 */
export class ProgressLayout {
  /** Numbered items in one occurrence. */
  readonly itemsPerOccurrence: number;
  /** Whether all items of an occurrence are numbered. */
  readonly isFinite: boolean;
  /** Number of the first item of each step in its occurrence; null for a step that lasts. */
  private readonly offsets: readonly (number | null)[];

  constructor(work: WorkSpec) {
    let next = 0;
    this.offsets = work.steps.map(({ lasting, count }) => {
      const offset = next;
      next += lasting ? 0 : count;
      return lasting ? null : offset;
    });
    this.itemsPerOccurrence = next;
    this.isFinite = work.steps.every(({ lasting }) => !lasting);
  }

  /** Returns the number of an item; null if it lasts or has no place in the submission. */
  numberOf({ occurrence, step, index }: ItemPlace): number | null {
    const offset = this.offsets[step] ?? null;
    return offset === null ? null : occurrence * this.itemsPerOccurrence + offset + index;
  }

  /** Returns the place of an item. */
  placeOf(number: number): ItemPlace {
    const occurrence = Math.floor(number / this.itemsPerOccurrence);
    const inOccurrence = number - occurrence * this.itemsPerOccurrence;
    let step = 0;
    let offset = 0;
    this.offsets.forEach((first, candidate) => {
      if (first !== null && first <= inOccurrence) {
        step = candidate;
        offset = first;
      }
    });
    return { occurrence, step, index: inOccurrence - offset };
  }
}
