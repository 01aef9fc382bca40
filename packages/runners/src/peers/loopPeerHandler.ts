import { OUTCOME, REFUSAL_KIND, type PeerView, type TableRange } from "@heatherferry/core";
import type { ForwardedOutcome, PeerEnvelope } from "@heatherferry/wire";
import type { EventLoop } from "../loop/eventLoop.js";
import type { PeerRunner } from "./peerRunner.js";
import { PeerRequestHandler } from "./peerRequestHandler.js";

/** Hands what other entry hosts call to the event loop, once there is one. */
export class LoopPeerHandler extends PeerRequestHandler {
  private loop: EventLoop | null = null;
  private runner: PeerRunner | null = null;

  /**
   * Calls before this get no view and are dropped.
   *
   * @param loop - Takes the events.
   * @param runner - Gives views.
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
    return this.runner === null ? null : this.runner.ownView(ranges);
  }

  override runRequest(): Promise<ForwardedOutcome> {
    const refusal = {
      outcome: OUTCOME.NOT_RUN,
      kind: REFUSAL_KIND.TICKET_INVALID,
      retryAfterMs: null,
    };
    return Promise.resolve({ type: "refused", refusal });
  }
}
