import type { PeerView, TableRange } from "@heatherferry/core";
import type {
  ForwardedOutcome,
  ForwardedRequest,
  PeerEnvelope,
  PeerSender,
} from "@heatherferry/wire";

/** Takes what other entry hosts call here. */
export abstract class PeerRequestHandler {
  /**
   * @param envelope - A message and who sent it.
   */
  abstract deliver(envelope: PeerEnvelope): void;

  /**
   * @param ranges - The ranges wanted.
   * @returns The view, or null when this node has none.
   */
  abstract readView(ranges: readonly TableRange[]): Promise<PeerView | null>;

  /**
   * @param sender - Who passes the request on.
   * @param request - The request.
   * @param signal - Aborts when the sender no longer waits.
   * @returns How it ended.
   */
  abstract runRequest(
    sender: PeerSender,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome>;
}
