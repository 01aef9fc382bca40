import type { Address, EntryHostId } from "@heatherferry/common";
import { peerCallId, type PeersEffect, type PeerCallId, type PeerView } from "@heatherferry/core";
import type { TableRange } from "@heatherferry/core";
import { EventLoop } from "../loop/eventLoop.js";
import type { PeerLink } from "./peerLink.js";

type EffectOf<Type extends PeersEffect["type"]> = Extract<PeersEffect, { type: Type }>;

/** Turns what comes of messages to and from other entry hosts into events. */
export class PeerRunner {
  private readonly viewCalls = new Map<PeerCallId, (view: PeerView | null) => void>();
  private callSequence = 0;

  constructor(
    private readonly link: PeerLink,
    private readonly loop: EventLoop,
  ) {}

  /** @param effect - The message to send. */
  async send({ to, address, message }: EffectOf<"peer/send">): Promise<void> {
    try {
      await this.link.send(address, message);
    } catch {
      this.unreachable(to);
    }
  }

  /** @param effect - The view to read. */
  async readView({ to, address, ranges }: EffectOf<"peer/readView">): Promise<void> {
    const sentAtMs = EventLoop.nowMs();
    const view = await this.viewFrom(address, ranges);
    if (view === null) {
      this.unreachable(to);
      return;
    }
    this.loop.handle({ type: "table/readCompleted", sentAtMs, tableTimeMs: null, ...view });
  }

  /** @param effect - The answer to a peer's read. */
  answerView({ callId, view }: EffectOf<"peer/answerView">): void {
    this.viewCalls.get(callId)?.(view);
    this.viewCalls.delete(callId);
  }

  /**
   * Asks the reducer for a part of the mirror, on behalf of a peer.
   *
   * @param ranges - The ranges wanted.
   * @returns The view, or null when there is none.
   */
  async ownView(ranges: readonly TableRange[]): Promise<PeerView | null> {
    this.callSequence += 1;
    const callId = peerCallId(String(this.callSequence));
    return new Promise((resolve) => {
      this.viewCalls.set(callId, resolve);
      this.loop.handle({ type: "peer/viewAsked", callId, ranges });
    });
  }

  private async viewFrom(to: Address, ranges: readonly TableRange[]): Promise<PeerView | null> {
    try {
      return await this.link.readView(to, ranges);
    } catch {
      return null;
    }
  }

  private unreachable(to: EntryHostId): void {
    this.loop.handle({ type: "peer/unreachable", to });
  }
}
