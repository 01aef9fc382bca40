import type { EntryHostId, Incarnation } from "@heatherferry/common";

/** The right to have one piece of work run once, by the life that issued it. */
export interface Ticket {
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
  /** Place in the order of issue, from 0. */
  readonly sequence: number;
  /** End of its validity on the issuer's own clock. */
  readonly expiresAtMs: number;
}

/** A ticket as a caller presents it. */
export interface PresentedTicket extends Ticket {
  /** The signature is that of this process; false for tickets of others too. */
  readonly genuine: boolean;
}
