import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { REQUEST } from "@heatherferry/core";
import type { BodyBudgets } from "../listeners/bodyBudgets.js";
import { BodyBuffer } from "../listeners/bodyBuffer.js";
import { BodyDiscards } from "../listeners/bodyDiscards.js";
import { CLIENT_LIMIT, MET_LIMIT } from "../listeners/constants.js";
import type { LimitObserver } from "../listeners/limitObserver.js";
import { announcedBytesOf } from "../listeners/requests.js";
import { BodyError } from "./errors.js";
import { readRequestBody, type RequestBody } from "./requestBody.js";
import { sendJson } from "./responses.js";

/** Most bytes that arrive in one part. */
const MAX_PART_BYTES = 65_536;

const TOO_LARGE_STATUS = 413;

/** Bytes of a too large body that are discarded, so that one slightly over the limit is answered. */
const MAX_DISCARDED_BYTES = 2 * REQUEST.MAX_BODY_BYTES;

/** Reads callers' bodies within their limits, and discards what is not read. */
export class CallerBodies {
  private readonly discards: BodyDiscards;

  /**
   * @param budgets - Memory for the bodies.
   * @param observer - Learns of callers that meet a limit.
   */
  constructor(
    private readonly budgets: BodyBudgets,
    private readonly observer: LimitObserver,
  ) {
    this.discards = new BodyDiscards(observer);
  }

  /**
   * Reads a body, or the first part of a large one. Disconnects a caller that takes too long.
   *
   * @returns The body. Rejects if the caller disconnects, or with a {@link BodyError} if there is
   *   no room.
   */
  async buffer(request: IncomingMessage, response: ServerResponse): Promise<RequestBody> {
    if (request.headers.expect !== undefined) {
      response.writeContinue();
    }
    const parts = new BodyBuffer(
      this.budgets.read,
      REQUEST.REPLAY_BODY_BYTES + MAX_PART_BYTES,
      announcedBytesOf(request),
    );
    const timer = setTimeout(() => {
      this.observer.met(MET_LIMIT.BODY_TIME);
      request.socket.destroy();
    }, CLIENT_LIMIT.BODY_TIMEOUT_MS);
    const { REPLAY_BODY_BYTES, MAX_BODY_BYTES } = REQUEST;
    try {
      return await readRequestBody(request, REPLAY_BODY_BYTES, MAX_BODY_BYTES, parts);
    } catch (error) {
      if (error instanceof BodyError) {
        this.observer.met(MET_LIMIT.BODY_MEMORY);
      }
      throw error;
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Reserves room for the buffered part of a body whose request waits for its answer.
   *
   * @param bytes - Size of that part.
   * @returns Whether there is room.
   */
  reserve(bytes: number): boolean {
    const isReserved = this.budgets.open.reserve(bytes);
    if (!isReserved) {
      this.observer.met(MET_LIMIT.BODY_MEMORY);
    }
    return isReserved;
  }

  /** Gives up the room of a request that has been answered. */
  release(bytes: number): void {
    this.budgets.open.release(bytes);
  }

  /** Answers a request whose body may not have been read to its end, and discards the rest. */
  answerUnread(
    response: ServerResponse,
    statusCode: number,
    headers: OutgoingHttpHeaders,
    body: unknown,
  ): void {
    const isNearLimit = statusCode === TOO_LARGE_STATUS;
    const maxBytes = isNearLimit ? MAX_DISCARDED_BYTES : CLIENT_LIMIT.MAX_DISCARDED_BYTES;
    this.discards.discard(response.req, response, maxBytes);
    sendJson(response, statusCode, headers, body);
  }
}
