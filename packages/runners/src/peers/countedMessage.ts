import { constants, type Http2ServerRequest } from "node:http2";
import { Readable } from "node:stream";
import type { ByteBudget } from "@heatherferry/coordination";
import { MET_LIMIT } from "../listeners/constants.js";
import type { LimitObserver } from "../listeners/limitObserver.js";

/** The message of a peer's call, whose bytes count toward a budget while the call is open. */
export class CountedMessage {
  private reservedBytes = 0;
  private isReleased = false;

  /**
   * Counts the parts of the request as they are read.
   *
   * @param request - The request, before it is read.
   * @param budget - Budget of all messages.
   * @param observer - Learns of a message that finds no room.
   */
  constructor(
    private readonly request: Http2ServerRequest,
    private readonly budget: ByteBudget,
    private readonly observer: LimitObserver,
  ) {
    // The RPC library reads a request as an iterable; a listener would start the stream too early.
    request[Symbol.asyncIterator] = () => this.parts();
  }

  /** Gives up the room of the message. */
  release(): void {
    this.budget.release(this.reservedBytes);
    this.reservedBytes = 0;
    this.isReleased = true;
  }

  private async *parts(): AsyncGenerator<Buffer, undefined> {
    const { request } = this;
    const parts = Readable.prototype[Symbol.asyncIterator].call(request);
    for await (const part of parts) {
      if (this.isReleased) {
        return;
      }
      const { length } = part as Buffer;
      if (!this.budget.reserve(length)) {
        this.observer.met(MET_LIMIT.BODY_MEMORY);
        request.stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM);
        return;
      }
      this.reservedBytes += length;
      yield part as Buffer;
    }
  }
}
