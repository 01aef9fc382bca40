import type { PeerView, TableRange } from "@heatherferry/core";
import type {
  ForwardedOutcome,
  ForwardedRequest,
  PeerEnvelope,
  PeerSender,
} from "@heatherferry/wire";
import type { EventLoop } from "../loop/eventLoop.js";
import type { ForwardedCallers } from "./forwardedCallers.js";
import type { PeerRunner } from "./peerRunner.js";
import { PeerRequestHandler } from "./peerRequestHandler.js";

/** Turns calls of other entry hosts into events, once the event loop exists. */
export class LoopPeerHandler extends PeerRequestHandler {
  private loop: EventLoop | null = null;
  private runner: PeerRunner | null = null;

  /**
   * @param forwarded - Runs forwarded requests.
   */
  constructor(private readonly forwarded: ForwardedCallers) {
    super();
  }

  /**
   * Starts handling calls. Before this, messages are dropped, view reads return no view and
   * forwarded requests fail.
   *
   * @param loop - Handles the events.
   * @param runner - Reads views of this node.
   */
  begin(loop: EventLoop, runner: PeerRunner): void {
    this.loop = loop;
    this.runner = runner;
  }

  override deliver({ sender, message }: PeerEnvelope): void {
    const { entryHostId: from, incarnation } = sender;
    this.loop?.handle({ type: "peer/received", from, incarnation, message });
  }

  override async readView(ranges: readonly TableRange[]): Promise<PeerView | null> {
    return this.runner === null ? null : this.runner.readOwnView(ranges);
  }

  override async runRequest(
    _sender: PeerSender,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome> {
    if (this.loop === null) {
      throw new Error("This entry host is starting");
    }
    return this.forwarded.run(request, signal, this.loop);
  }
}
