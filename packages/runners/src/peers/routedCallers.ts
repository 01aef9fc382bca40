import type { RequestId } from "@heatherferry/common";
import type { Refusal } from "@heatherferry/core";
import {
  CallerServer,
  type ForwardableRequest,
  type RelayResult,
} from "../callers/callerServer.js";
import type { IncomingAnswer, OutgoingRequest } from "../callers/types.js";
import type { ForwardedCallers } from "./forwardedCallers.js";

/** Routes each call to the source of its request: a direct caller or another entry host. */
export class RoutedCallers extends CallerServer {
  constructor(
    private readonly direct: CallerServer,
    private readonly forwarded: ForwardedCallers,
  ) {
    super();
  }

  override outgoing(id: RequestId): OutgoingRequest | null {
    return this.sourceOf(id).outgoing(id);
  }

  override forwardable(id: RequestId): ForwardableRequest | null {
    return this.sourceOf(id).forwardable(id);
  }

  override async relay(id: RequestId, answer: IncomingAnswer): Promise<RelayResult> {
    return this.sourceOf(id).relay(id, answer);
  }

  override refuse(id: RequestId, refusal: Refusal): void {
    this.sourceOf(id).refuse(id, refusal);
  }

  override abortResponse(id: RequestId): void {
    this.sourceOf(id).abortResponse(id);
  }

  override async close(): Promise<void> {
    await this.direct.close();
    await this.forwarded.close();
  }

  private sourceOf(id: RequestId): CallerServer {
    return this.forwarded.has(id) ? this.forwarded : this.direct;
  }
}
