import type { ByteBudget } from "@heatherferry/coordination";
import type { ValueOf } from "@heatherferry/common";

export const APPEND_RESULT = {
  KEPT: "kept",
  /** The body is larger than its limit. */
  TOO_LARGE: "tooLarge",
  /** The budget has no room for more. */
  NO_ROOM: "noRoom",
} as const;

export type AppendResult = ValueOf<typeof APPEND_RESULT>;

const NOTHING = Buffer.alloc(0);

/** Smallest buffer, so that a body in pieces of single bytes is not moved at each of them. */
const MIN_CAPACITY_BYTES = 4_096;

/** Collects the parts of a body. */
export abstract class BodyParts {
  /**
   * Adds the next part.
   *
   * @param part - The part.
   * @returns Whether it is kept; if not, the whole body is dropped, and so are further parts.
   */
  abstract append(part: Buffer): AppendResult;

  /** Returns the body and gives up its room. */
  abstract take(): Buffer;

  /** Forgets the body and gives up its room. */
  abstract drop(): void;
}

/** Collects a body without a limit, for a sender that is part of the system. */
export class UnlimitedParts extends BodyParts {
  private readonly parts: Buffer[] = [];

  override append(part: Buffer): AppendResult {
    this.parts.push(part);
    return APPEND_RESULT.KEPT;
  }

  override take(): Buffer {
    const [first = NOTHING] = this.parts;
    const content = this.parts.length > 1 ? Buffer.concat(this.parts) : first;
    this.drop();
    return content;
  }

  override drop(): void {
    this.parts.length = 0;
  }
}

/**
 * Collects a body in one buffer, whose capacity counts toward a budget. It keeps nothing once the
 * body is too large or finds no room.
 */
export class BodyBuffer extends BodyParts {
  private buffer: Buffer = NOTHING;
  private length = 0;
  private reservedBytes = 0;
  private isClosed = false;

  /**
   * @param budget - Budget of all bodies that are being read.
   * @param maxBytes - Size limit of the body.
   * @param announcedBytes - Announced size; null if unknown.
   */
  constructor(
    private readonly budget: ByteBudget,
    private readonly maxBytes: number,
    private readonly announcedBytes: number | null,
  ) {
    super();
  }

  override append(part: Buffer): AppendResult {
    const length = this.length + part.length;
    if (this.isClosed || length > this.maxBytes) {
      this.drop();
      return APPEND_RESULT.TOO_LARGE;
    }
    if (part.length === this.announcedBytes) {
      // The body is whole at once, so it is taken before anything else is read.
      this.buffer = part;
      this.length = length;
      return APPEND_RESULT.KEPT;
    }
    if (length > this.buffer.length && !this.grow(length)) {
      this.drop();
      return APPEND_RESULT.NO_ROOM;
    }
    part.copy(this.buffer, this.length);
    this.length = length;
    return APPEND_RESULT.KEPT;
  }

  override take(): Buffer {
    const content = this.buffer.subarray(0, this.length);
    this.drop();
    return content;
  }

  override drop(): void {
    this.isClosed = true;
    this.budget.release(this.reservedBytes);
    this.reservedBytes = 0;
    this.buffer = NOTHING;
    this.length = 0;
  }

  private grow(length: number): boolean {
    const capacity = Math.max(length, Math.min(2 * length, this.maxBytes), MIN_CAPACITY_BYTES);
    if (!this.budget.reserve(capacity - this.reservedBytes)) {
      return false;
    }
    this.reservedBytes = capacity;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.length);
    this.buffer = grown;
    return true;
  }
}
