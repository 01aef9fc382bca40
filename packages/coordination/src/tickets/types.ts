import type { EntryHostId, Incarnation } from "@heatherferry/common";

/** The right to have one piece of work run at most once, by the incarnation that issued it. */
export interface Ticket {
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
  /** Number in the order of issue, from 0. */
  readonly sequence: number;
  /** When it expires, in ms on the issuer's own clock. */
  readonly expiresAtMs: number;
}

/** A ticket as a caller presents it. */
export interface PresentedTicket extends Ticket {
  /** Whether this process signed it; also false for valid tickets of other issuers. */
  readonly genuine: boolean;
}
