import { requestId, type Incarnation, type RequestId } from "@heatherferry/common";
import type { TicketSigner } from "@heatherferry/coordination";
import { OUTCOME, REFUSAL_KIND, REQUEST, type Refusal } from "@heatherferry/core";
import type { ForwardedOutcome, ForwardedRequest } from "@heatherferry/wire";
import {
  CallerServer,
  type ForwardableRequest,
  type RelayResult,
} from "../callers/callerServer.js";
import { RequestBody, readRequestBody } from "../callers/requestBody.js";
import { UnlimitedParts } from "../listeners/bodyBuffer.js";
import type { HeaderFields, IncomingAnswer, OutgoingRequest } from "../callers/types.js";
import type { EventLoop } from "../loop/eventLoop.js";

interface ForwardedExchange {
  readonly outgoing: OutgoingRequest;
  readonly finish: (outcome: ForwardedOutcome) => void;
}

const refused = (refusal: Refusal): ForwardedOutcome => ({ type: "refused", refusal });

const unknownOutcome = (kind: Refusal["kind"]): ForwardedOutcome =>
  refused({ outcome: OUTCOME.UNKNOWN, kind, retryAfterMs: null });

/** Runs requests that other entry hosts forward to this one, and collects their outcomes. */
export class ForwardedCallers extends CallerServer {
  private readonly exchanges = new Map<RequestId, ForwardedExchange>();
  private sequence = 0;

  /**
   * @param incarnation - Incarnation of this entry host.
   * @param signer - Verifies the tickets of this process.
   */
  constructor(
    private readonly incarnation: Incarnation,
    private readonly signer: TicketSigner,
  ) {
    super();
  }

  /**
   * Runs a forwarded request.
   *
   * @param request - The request.
   * @param signal - Aborts when the sender stops waiting.
   * @param loop - Handles the arrival event.
   * @returns The outcome.
   */
  async run(
    request: ForwardedRequest,
    signal: AbortSignal,
    loop: EventLoop,
  ): Promise<ForwardedOutcome> {
    if (request.incarnation !== this.incarnation) {
      return unknownOutcome(REFUSAL_KIND.ISSUER_GONE);
    }
    this.sequence += 1;
    const id = requestId(`${this.incarnation}-f${this.sequence}`);
    return new Promise((resolve) => {
      this.open(id, request, resolve);
      signal.addEventListener("abort", () => {
        if (this.exchanges.delete(id)) {
          loop.handle({ type: "request/cancelled", requestId: id });
        }
      });
      const { queue, keyHash, idempotent, idempotencyKey, timeoutMs } = request;
      const ticket = request.ticket === null ? null : this.signer.read(request.ticket);
      const fields = { queue, keyHash, idempotent, idempotencyKey, timeoutMs, ticket };
      loop.handle({ type: "request/arrived", requestId: id, ...fields, forwarded: true });
    });
  }

  /** Whether a request was forwarded by another entry host and has no outcome yet. */
  has(id: RequestId): boolean {
    return this.exchanges.has(id);
  }

  override outgoing(id: RequestId): OutgoingRequest | null {
    return this.exchanges.get(id)?.outgoing ?? null;
  }

  override forwardable(): ForwardableRequest | null {
    return null;
  }

  override async relay(id: RequestId, answer: IncomingAnswer): Promise<RelayResult> {
    const { statusCode, headers } = answer;
    try {
      const body = await readRequestBody(
        answer.body,
        REQUEST.MAX_BODY_BYTES,
        0,
        new UnlimitedParts(),
      );
      const bytes = body.open();
      const isComplete = bytes === null || Buffer.isBuffer(bytes);
      if (!isComplete) {
        answer.body.destroy();
      }
      this.finish(
        id,
        isComplete
          ? { type: "answered", statusCode, headers, body: bytes ?? Buffer.alloc(0) }
          : unknownOutcome(REFUSAL_KIND.ANSWER_NOT_KEPT),
      );
      return "whole";
    } catch {
      return "answerBrokeOff";
    }
  }

  override refuse(id: RequestId, refusal: Refusal): void {
    this.finish(id, refused(refusal));
  }

  override abortResponse(id: RequestId): void {
    this.finish(id, unknownOutcome(REFUSAL_KIND.TARGET_BROKE_OFF));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private open(
    id: RequestId,
    request: ForwardedRequest,
    finish: (outcome: ForwardedOutcome) => void,
  ): void {
    const { method, path, body } = request;
    const headers: HeaderFields = {};
    for (const [name, value] of Object.entries(request.headers)) {
      headers[name] = typeof value === "string" ? value : [...value];
    }
    const content = Buffer.from(body);
    const outgoing = { method, path, headers, body: new RequestBody(content, null, body.length) };
    this.exchanges.set(id, { outgoing, finish });
  }

  private finish(id: RequestId, outcome: ForwardedOutcome): void {
    this.exchanges.get(id)?.finish(outcome);
    this.exchanges.delete(id);
  }
}
