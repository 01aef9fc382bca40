import type { Address, EntryHostId } from "@heatherferry/common";
import { peerCallId, type PeersEffect, type PeerCallId, type PeerView } from "@heatherferry/core";
import type { TableRange } from "@heatherferry/core";
import { EventLoop } from "../loop/eventLoop.js";
import type { PeerLink } from "./peerLink.js";

type EffectOf<Type extends PeersEffect["type"]> = Extract<PeersEffect, { type: Type }>;

/** Exchanges messages and views with other entry hosts and reports the results as events. */
export class PeerRunner {
  private readonly viewCalls = new Map<PeerCallId, (view: PeerView | null) => void>();
  private callSequence = 0;

  constructor(
    private readonly link: PeerLink,
    private readonly loop: EventLoop,
  ) {}

  /** Sends a message to a peer. */
  async send({ to, address, message }: EffectOf<"peer/send">): Promise<void> {
    try {
      await this.link.send(address, message);
    } catch {
      this.reportUnreachable(to);
    }
  }

  /** Reads a peer's view. */
  async readView({ to, address, ranges }: EffectOf<"peer/readView">): Promise<void> {
    const sentAtMs = EventLoop.nowMs();
    const view = await this.readPeerView(address, ranges);
    if (view === null) {
      this.reportUnreachable(to);
      return;
    }
    this.loop.handle({ type: "table/readCompleted", sentAtMs, tableTimeMs: null, ...view });
  }

  /** Answers a peer's pending view read. */
  answerView({ callId, view }: EffectOf<"peer/answerView">): void {
    this.viewCalls.get(callId)?.(view);
    this.viewCalls.delete(callId);
  }

  /**
   * Reads this node's own view for a peer. The reducer answers with an effect.
   *
   * @param ranges - The requested ranges.
   * @returns The view, or null if this node has none.
   */
  async readOwnView(ranges: readonly TableRange[]): Promise<PeerView | null> {
    this.callSequence += 1;
    const callId = peerCallId(String(this.callSequence));
    return new Promise((resolve) => {
      this.viewCalls.set(callId, resolve);
      this.loop.handle({ type: "peer/viewAsked", callId, ranges });
    });
  }

  private async readPeerView(to: Address, ranges: readonly TableRange[]): Promise<PeerView | null> {
    try {
      return await this.link.readView(to, ranges);
    } catch {
      return null;
    }
  }

  private reportUnreachable(to: EntryHostId): void {
    this.loop.handle({ type: "peer/unreachable", to });
  }
}
