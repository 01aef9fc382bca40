import type { ProgressLayout } from "./progressLayout.js";
import type { Progress } from "../types.js";

const BITS_PER_DIGIT = 4;
const HEX_RADIX = 16;

/** Adds the items of a list by step, the form of progress without a window. */
const addListed = (done: DoneItems, layout: ProgressLayout, lists: Progress["done"]): void => {
  for (const [key, indexes] of Object.entries(lists)) {
    const [occurrence, step] = key.split(".").map(Number);
    for (const index of indexes) {
      const number = layout.numberOf({ occurrence: occurrence ?? 0, step: step ?? 0, index });
      if (number !== null) {
        done.add(number);
      }
    }
  }
};

const addBits = (done: DoneItems, firstOpen: number, bits: string): void => {
  for (let position = 0; position < bits.length; position += 1) {
    const value = Number.parseInt(bits.charAt(position), HEX_RADIX);
    for (let bit = 0; bit < BITS_PER_DIGIT; bit += 1) {
      if ((value & (1 << bit)) !== 0) {
        done.add(firstOpen + position * BITS_PER_DIGIT + bit);
      }
    }
  }
};

/** Which items of a submission are done: all below the first open one, and single ones above it. */
export class DoneItems {
  /** Number of the first item that is not done. */
  firstOpen = 0;
  private readonly above = new Set<number>();

  /** Number of items that are done. */
  get size(): number {
    return this.firstOpen + this.above.size;
  }

  /** Restores what a progress row records. */
  static restore(layout: ProgressLayout, progress: Progress | null): DoneItems {
    const done = new DoneItems();
    if (progress === null) {
      return done;
    }
    done.firstOpen = progress.window?.firstOpen ?? 0;
    addBits(done, done.firstOpen, progress.window?.done ?? "");
    addListed(done, layout, progress.done);
    return done;
  }

  /** Returns how many items are done from `first` on, below `end`. */
  countBetween(first: number, end: number): number {
    let count = Math.max(0, Math.min(end, this.firstOpen) - first);
    for (const number of this.above) {
      count += number >= first && number < end ? 1 : 0;
    }
    return count;
  }

  has(number: number): boolean {
    return number < this.firstOpen || this.above.has(number);
  }

  add(number: number): void {
    if (number > this.firstOpen) {
      this.above.add(number);
    } else if (number === this.firstOpen) {
      this.firstOpen += 1;
      while (this.above.delete(this.firstOpen)) {
        this.firstOpen += 1;
      }
    }
  }

  /** Returns the items above the first open one, a bit each, as hexadecimal digits. */
  bitsAbove(): string {
    const digits: number[] = [];
    for (const number of this.above) {
      const offset = number - this.firstOpen;
      const digit = Math.floor(offset / BITS_PER_DIGIT);
      while (digits.length <= digit) {
        digits.push(0);
      }
      digits[digit] = (digits[digit] ?? 0) | (1 << (offset % BITS_PER_DIGIT));
    }
    return digits.map((digit) => digit.toString(HEX_RADIX)).join("");
  }

  /** Returns the items that are done as indexes by step, keyed `occurrence.step`. */
  listed(layout: ProgressLayout): Record<string, number[]> {
    const lists: Record<string, number[]> = {};
    const list = (number: number): void => {
      const { occurrence, step, index } = layout.placeOf(number);
      (lists[`${occurrence}.${step}`] ??= []).push(index);
    };
    for (let number = 0; number < this.firstOpen; number += 1) {
      list(number);
    }
    this.above.forEach(list);
    return lists;
  }
}
