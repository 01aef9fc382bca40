import type { Address } from "@heatherferry/common";
import type { PeerMessage, PeerView, TableRange } from "@heatherferry/core";
import type { ForwardedOutcome, ForwardedRequest } from "@heatherferry/wire";

/** Calls other entry hosts. */
export abstract class PeerLink {
  /**
   * Sends a message to a peer.
   *
   * @param to - Peer address.
   * @param message - The message.
   * @throws PeerError if it may not have arrived.
   */
  abstract send(to: Address, message: PeerMessage): Promise<void>;

  /**
   * Reads changed rows from a peer's mirror of the platform's table.
   *
   * @param to - Peer address.
   * @param ranges - Key prefixes, each with the version after which changes are requested.
   * @returns The peer's view of the ranges.
   * @throws PeerError if no answer arrives or the peer has no view.
   */
  abstract readView(to: Address, ranges: readonly TableRange[]): Promise<PeerView>;

  /**
   * Forwards a request to a peer that runs it. The request is sent at most once.
   *
   * @param to - Peer address.
   * @param request - The request.
   * @param signal - Aborts the call when the caller disconnects.
   * @returns The outcome on the peer.
   * @throws PeerError of kind notSent if nothing was sent; of kind unanswered if the request may
   * have run.
   */
  abstract forward(
    to: Address,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
