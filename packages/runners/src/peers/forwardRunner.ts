import { Readable } from "node:stream";
import type { Incarnation, RequestId } from "@heatherferry/common";
import type { TicketsEffect } from "@heatherferry/core";
import type { ForwardedOutcome, ForwardedRequest } from "@heatherferry/wire";
import type { CallerServer, ForwardableRequest } from "../callers/callerServer.js";
import type { HeaderFields } from "../callers/types.js";
import type { EventLoop } from "../loop/eventLoop.js";
import { PEER_ERROR_KIND, PeerError } from "./errors.js";
import type { PeerLink } from "./peerLink.js";

type ForwardEffect = Extract<TicketsEffect, { type: "peer/forwardRequest" }>;

const readBody = async (forwardable: ForwardableRequest): Promise<Buffer> => {
  const content = forwardable.outgoing.body.open();
  if (!(content instanceof Readable)) {
    return content ?? Buffer.alloc(0);
  }
  const chunks: Buffer[] = [];
  for await (const chunk of content) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

const requestOf = async (
  forwardable: ForwardableRequest,
  incarnation: Incarnation,
  timeoutMs: number,
): Promise<ForwardedRequest> => {
  const { queue, keyHash, idempotent, idempotencyKey } = forwardable.arrival;
  const { method, path, headers } = forwardable.outgoing;
  const body = await readBody(forwardable);
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
    try {
      const request = await requestOf(forwardable, incarnation, timeoutMs);
      sent = true;
      const outcome = await this.link.forward(address, request, forwardable.signal);
      await this.relay(requestId, outcome);
    } catch (error) {
      const isNotSent = error instanceof PeerError && error.kind === PEER_ERROR_KIND.NOT_SENT;
      this.loop.handle({ type: "forward/failed", requestId, sent: sent && !isNotSent });
    }
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
