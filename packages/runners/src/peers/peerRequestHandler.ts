import type { PeerView, TableRange } from "@heatherferry/core";
import type {
  ForwardedOutcome,
  ForwardedRequest,
  PeerEnvelope,
  PeerSender,
} from "@heatherferry/wire";

/** Handles calls of other entry hosts. */
export abstract class PeerRequestHandler {
  /**
   * Handles a message.
   *
   * @param envelope - The message and its sender.
   */
  abstract deliver(envelope: PeerEnvelope): void;

  /**
   * Reads the view that this node has of the platform's table.
   *
   * @param ranges - The requested ranges.
   * @returns The view, or null if this node has none.
   */
  abstract readView(ranges: readonly TableRange[]): Promise<PeerView | null>;

  /**
   * Runs a forwarded request.
   *
   * @param sender - The entry host that forwards the request.
   * @param request - The request.
   * @param signal - Aborts when the sender stops waiting.
   * @returns The outcome.
   */
  abstract runRequest(
    sender: PeerSender,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome>;
}
