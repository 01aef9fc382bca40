import { Readable } from "node:stream";
import type { Incarnation, RequestId } from "@heatherferry/common";
import { REQUEST, type TicketsEffect } from "@heatherferry/core";
import type { ForwardedOutcome, ForwardedRequest } from "@heatherferry/wire";
import type { CallerServer, ForwardableRequest } from "../callers/callerServer.js";
import { BODY_ERROR_KIND, BodyError } from "../callers/errors.js";
import { APPEND_RESULT, BodyBuffer, type BodyParts } from "../listeners/bodyBuffer.js";
import type { BodyBudgets } from "../listeners/bodyBudgets.js";
import type { HeaderFields } from "../callers/types.js";
import type { EventLoop } from "../loop/eventLoop.js";
import { PEER_ERROR_KIND, PeerError } from "./errors.js";
import type { PeerLink } from "./peerLink.js";

type ForwardEffect = Extract<TicketsEffect, { type: "peer/forwardRequest" }>;

/** Reads a body to its end into `parts`. */
const readBody = async (forwardable: ForwardableRequest, parts: BodyParts): Promise<Buffer> => {
  const content = forwardable.outgoing.body.open();
  if (!(content instanceof Readable)) {
    return content ?? Buffer.alloc(0);
  }
  for await (const chunk of content) {
    if (parts.append(chunk as Buffer) !== APPEND_RESULT.KEPT) {
      throw new BodyError(BODY_ERROR_KIND.NO_ROOM);
    }
  }
  return parts.take();
};

const requestOf = async (
  forwardable: ForwardableRequest,
  incarnation: Incarnation,
  timeoutMs: number,
  parts: BodyParts,
): Promise<ForwardedRequest> => {
  const { queue, keyHash, idempotent, idempotencyKey } = forwardable.arrival;
  const { method, path, headers } = forwardable.outgoing;
  const body = await readBody(forwardable, parts);
  const fields = { queue, keyHash, idempotent, idempotencyKey, ticket: forwardable.ticketText };
  return { incarnation, timeoutMs, method, path, headers, body, ...fields };
};

const headersOf = ({ headers }: Extract<ForwardedOutcome, { type: "answered" }>): HeaderFields =>
  Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      typeof value === "string" ? value : [...value],
    ]),
  );

/** Forwards requests to the only entry host that may run them, and relays the outcomes. */
export class ForwardRunner {
  constructor(
    private readonly callers: CallerServer,
    private readonly link: PeerLink,
    private readonly loop: EventLoop,
    private readonly bodies: BodyBudgets,
  ) {}

  /** Forwards a request, and reports the result as an event. */
  async forward(effect: ForwardEffect): Promise<void> {
    const { requestId, incarnation, timeoutMs, address } = effect;
    const forwardable = this.callers.forwardable(requestId);
    if (forwardable === null) {
      this.loop.handle({ type: "forward/failed", requestId, sent: false });
      return;
    }
    let sent = false;
    let reservedBytes = 0;
    const parts = new BodyBuffer(this.bodies.read, REQUEST.MAX_BODY_BYTES, null);
    try {
      const request = await requestOf(forwardable, incarnation, timeoutMs, parts);
      reservedBytes = this.reserve(request.body.length);
      sent = true;
      const outcome = await this.link.forward(address, request, forwardable.signal);
      await this.relay(requestId, outcome);
    } catch (error) {
      const isNotSent = error instanceof PeerError && error.kind === PEER_ERROR_KIND.NOT_SENT;
      this.loop.handle({ type: "forward/failed", requestId, sent: sent && !isNotSent });
    } finally {
      parts.drop();
      this.bodies.open.release(reservedBytes);
    }
  }

  private reserve(bytes: number): number {
    if (!this.bodies.open.reserve(bytes)) {
      throw new BodyError(BODY_ERROR_KIND.NO_ROOM);
    }
    return bytes;
  }

  private async relay(requestId: RequestId, outcome: ForwardedOutcome): Promise<void> {
    if (outcome.type === "refused") {
      this.loop.handle({ type: "forward/refused", requestId, refusal: outcome.refusal });
      return;
    }
    this.loop.handle({ type: "forward/answered", requestId });
    const { statusCode, body } = outcome;
    const headers = headersOf(outcome);
    await this.callers.relay(requestId, { statusCode, headers, body: Readable.from([body]) });
  }
}
