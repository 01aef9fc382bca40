import type { Address } from "@heatherferry/common";
import type { PeerMessage, PeerView, TableRange } from "@heatherferry/core";
import type { ForwardedOutcome, ForwardedRequest } from "@heatherferry/wire";

/** Calls to other entry hosts. */
export abstract class PeerLink {
  /**
   * @param to - Where the peer takes calls.
   * @param message - The message.
   * @throws PeerError when it may not have arrived.
   */
  abstract send(to: Address, message: PeerMessage): Promise<void>;

  /**
   * @param to - Where the peer takes calls.
   * @param ranges - Key prefixes, each with the version after which changes are wanted.
   * @returns What the peer's mirror holds of them.
   * @throws PeerError when no answer came or the peer has no view.
   */
  abstract readView(to: Address, ranges: readonly TableRange[]): Promise<PeerView>;

  /**
   * Has a peer run a request. It is sent at most once.
   *
   * @param to - Where the peer takes calls.
   * @param request - The request.
   * @param signal - Aborts the call when the caller is gone.
   * @returns How it ended there.
   * @throws PeerError of kind notSent when not a byte left; of kind unanswered when it may
   * have run.
   */
  abstract forward(
    to: Address,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
