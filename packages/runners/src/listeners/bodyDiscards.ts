import type { IncomingMessage, ServerResponse } from "node:http";
import { CLIENT_LIMIT, MET_LIMIT } from "./constants.js";
import type { LimitObserver } from "./limitObserver.js";
import { announcedBytesOf } from "./requests.js";

/**
 * Discards the rest of bodies that are not read, so that their clients read their answers. A client
 * that has too much left, or comes while many others are at it, is disconnected after its answer.
 */
export class BodyDiscards {
  private running = 0;

  /**
   * @param observer - Learns of clients that are disconnected.
   */
  constructor(private readonly observer: LimitObserver) {}

  /**
   * Discards what is left of a request's body. Called before the request is answered.
   *
   * @param request - The request.
   * @param response - Its response.
   * @param maxBytes - Most bytes to discard.
   */
  discard(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number = CLIENT_LIMIT.MAX_DISCARDED_BYTES,
  ): void {
    if (request.complete) {
      request.resume();
      return;
    }
    const { expect } = request.headers;
    const isTooMuch = (announcedBytesOf(request) ?? 0) > maxBytes;
    // A client that waits for permission to send gets none, so nothing of its body may follow.
    if (expect !== undefined || isTooMuch || this.running >= CLIENT_LIMIT.MAX_DISCARDS) {
      this.observer.met(MET_LIMIT.DISCARDED_BYTES);
      response.shouldKeepAlive = false;
      return;
    }
    this.countDiscarded(request, maxBytes);
  }

  private countDiscarded(request: IncomingMessage, maxBytes: number): void {
    let discardedBytes = 0;
    this.running += 1;
    request.once("close", () => {
      this.running -= 1;
    });
    request.on("data", (part: Buffer) => {
      discardedBytes += part.length;
      if (discardedBytes > maxBytes && !request.socket.destroyed) {
        this.observer.met(MET_LIMIT.DISCARDED_BYTES);
        request.socket.destroy();
      }
    });
    request.resume();
  }
}
