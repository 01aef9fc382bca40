import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Readable } from "node:stream";
import { requestId, type Incarnation, type RequestId } from "@heatherferry/common";
import { REFUSAL_KIND, REQUEST, OUTCOME, type Refusal } from "@heatherferry/core";
import findMyWay from "find-my-way";
import type { Ticket, TicketSigner } from "@heatherferry/coordination";
import { CallerServer, type ForwardableRequest, type RelayEnd } from "./callerServer.js";
import { CALLER_HEADER, passedHeaders } from "./headers.js";
import { isBadHeader, parseArrival, type ArrivalFields } from "./parseArrival.js";
import { refusalAnswer } from "./refusalText.js";
import { readRequestBody } from "./requestBody.js";
import type { IncomingAnswer, OutgoingRequest } from "./types.js";

/** Hears of callers' requests. */
export abstract class ArrivalHandler {
  /** @param arrival - A request whose headers and first body bytes are here. */
  abstract arrived(arrival: ArrivalFields): void;

  /** @param requestId - A request whose caller hung up. */
  abstract cancelled(requestId: RequestId): void;

  /**
   * @param requestId - A call for tickets.
   * @param count - Tickets that the caller wants.
   */
  abstract ticketsRequested(requestId: RequestId, count: number): void;
}

interface Exchange {
  readonly arrival: ArrivalFields;
  readonly outgoing: OutgoingRequest;
  readonly hungUp: AbortController;
  readonly response: ServerResponse;
  /** An outcome is on its way to the caller. */
  settled: boolean;
}

const MS_PER_SECOND = 1_000;
const LISTEN_BACKLOG = 4_096;

const targetPath = (url: string, queue: string): string => {
  const rest = url.slice(`/queues/${queue}`.length);
  return rest.startsWith("/") ? rest : `/${rest}`;
};

const sendJson = (
  response: ServerResponse,
  statusCode: number,
  headers: OutgoingHttpHeaders,
  body: unknown,
): void => {
  if (response.headersSent || response.destroyed) {
    return;
  }
  // Cutting off a caller that still sends would lose it the answer.
  response.req.resume();
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(statusCode, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};

/** Pipes by hand: a pipeline makes an abort signal and an error object for every answer. */
const passOn = async (body: Readable, response: ServerResponse): Promise<RelayEnd> =>
  new Promise((resolve) => {
    body.once("error", () => {
      response.destroy();
      resolve("answerBrokeOff");
    });
    response.once("finish", () => {
      resolve("whole");
    });
    response.once("close", () => {
      if (!response.writableFinished) {
        body.destroy();
      }
      resolve("callerGone");
    });
    body.pipe(response);
  });

/** The callers' interface over HTTP/1.1. */
export class HttpCallerServer extends CallerServer {
  private readonly server: Server;
  private readonly router = findMyWay({ ignoreTrailingSlash: true });
  private readonly ticketCalls = new Map<RequestId, ServerResponse>();
  private readonly exchanges = new Map<RequestId, Exchange>();
  private sequence = 0;
  private leaving = false;

  /**
   * @param incarnation - Makes request ids unique over restarts.
   * @param handler - Hears of requests.
   * @param signer - Signs and tells the tickets of this process.
   */
  constructor(
    private readonly incarnation: Incarnation,
    private readonly handler: ArrivalHandler,
    private readonly signer: TicketSigner,
  ) {
    super();
    this.router.all("/queues/:queue", this.onQueueRequest.bind(this));
    this.router.all("/queues/:queue/*", this.onQueueRequest.bind(this));
    this.router.on("POST", "/tickets", this.onTicketsRequest.bind(this));
    this.server = createServer((request, response) => {
      this.router.lookup(request, response);
    });
    this.router.on("GET", "/", (_request, response) => {
      sendJson(response, 200, {}, { service: "heatherferry", queues: "/queues/<queue>/<path>" });
    });
  }

  /**
   * @param host - IP address to listen on.
   * @param port - Port; 0 for one that the operating system picks.
   * @returns `host:port` as bound.
   */
  async listen(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, LISTEN_BACKLOG, resolve);
    });
    const bound = this.server.address();
    return typeof bound === "object" && bound !== null ? `${bound.address}:${bound.port}` : host;
  }

  override outgoing(id: RequestId): OutgoingRequest | null {
    return this.exchanges.get(id)?.outgoing ?? null;
  }

  override forwardable(id: RequestId): ForwardableRequest | null {
    const exchange = this.exchanges.get(id);
    if (exchange === undefined) {
      return null;
    }
    const { arrival, outgoing, response, hungUp } = exchange;
    const ticketText = response.req.headers[CALLER_HEADER.TICKET];
    return {
      arrival,
      outgoing,
      ticketText: typeof ticketText === "string" ? ticketText : null,
      signal: hungUp.signal,
    };
  }

  /**
   * Answers a caller that asked for tickets.
   *
   * @param id - Its request.
   * @param tickets - The tickets; none when none can be issued now.
   */
  sendTickets(id: RequestId, tickets: readonly Ticket[]): void {
    const response = this.ticketCalls.get(id);
    this.ticketCalls.delete(id);
    if (response !== undefined) {
      const body = { tickets: tickets.map((ticket) => this.signer.sign(ticket)) };
      sendJson(response, 200, this.connectionHeaders(), body);
    }
  }

  override async relay(id: RequestId, answer: IncomingAnswer): Promise<RelayEnd> {
    const exchange = this.exchanges.get(id);
    if (exchange === undefined || exchange.response.destroyed) {
      answer.body.destroy();
      return "callerGone";
    }
    exchange.settled = true;
    const { response } = exchange;
    response.writeHead(answer.statusCode, {
      ...answer.headers,
      ...this.connectionHeaders(),
      [CALLER_HEADER.OUTCOME]: "answered",
    });
    const end = await passOn(answer.body, response);
    this.exchanges.delete(id);
    return end;
  }

  override refuse(id: RequestId, refusal: Refusal): void {
    const exchange = this.exchanges.get(id);
    if (exchange === undefined) {
      return;
    }
    exchange.settled = true;
    this.exchanges.delete(id);
    this.sendRefusal(exchange.response, refusal);
  }

  override breakOff(id: RequestId): void {
    const exchange = this.exchanges.get(id);
    this.exchanges.delete(id);
    exchange?.response.destroy();
  }

  /** Tells clients to reconnect elsewhere after their next answer. */
  beginLeaving(): void {
    this.leaving = true;
    this.server.closeIdleConnections();
  }

  override async close(): Promise<void> {
    this.leaving = true;
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeIdleConnections();
    });
  }

  private nextId(): RequestId {
    this.sequence += 1;
    return requestId(`${this.incarnation}-${this.sequence}`);
  }

  private connectionHeaders(): OutgoingHttpHeaders {
    return this.leaving ? { connection: "close" } : {};
  }

  private sendRefusal(response: ServerResponse, refusal: Refusal): void {
    const { statusCode, outcome, body } = refusalAnswer(refusal);
    const retryAfter =
      refusal.retryAfterMs === null
        ? {}
        : { "retry-after": String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)) };
    const headers = {
      [CALLER_HEADER.OUTCOME]: outcome,
      ...retryAfter,
      ...this.connectionHeaders(),
    };
    sendJson(response, statusCode, headers, body);
  }

  private onQueueRequest(
    request: IncomingMessage,
    response: ServerResponse,
    params: Record<string, string | undefined>,
  ): void {
    const id = this.nextId();
    const queue = params.queue ?? "";
    const arrival = parseArrival(id, queue, request.method ?? "GET", request.headers, this.signer);
    if (isBadHeader(arrival)) {
      this.refuseBadHeader(response, arrival.header, arrival.remedy);
      return;
    }
    if (Number(request.headers["content-length"] ?? 0) > REQUEST.MAX_BODY_BYTES) {
      this.sendRefusal(response, {
        outcome: OUTCOME.NOT_RUN,
        kind: REFUSAL_KIND.TOO_LARGE,
        retryAfterMs: null,
      });
      return;
    }
    void this.takeIn(request, response, arrival);
  }

  private onTicketsRequest(request: IncomingMessage, response: ServerResponse): void {
    const { searchParams } = new URL(request.url ?? "/", "http://callers");
    const count = Number(searchParams.get("count") ?? "1");
    if (!Number.isSafeInteger(count) || count < 1) {
      sendJson(response, 400, {}, { message: "count must be a whole number above 0" });
      return;
    }
    const id = this.nextId();
    this.ticketCalls.set(id, response);
    response.once("close", () => this.ticketCalls.delete(id));
    this.handler.ticketsRequested(id, count);
  }

  private refuseBadHeader(response: ServerResponse, header: string, remedy: string): void {
    const message = `The header ${header} cannot be understood. ${remedy}. The request has not run.`;
    const body = { outcome: "not-run", kind: "badHeader", message, retryAfterMs: null };
    const headers = { [CALLER_HEADER.OUTCOME]: "not-run", ...this.connectionHeaders() };
    sendJson(response, 400, headers, body);
  }

  private async takeIn(
    request: IncomingMessage,
    response: ServerResponse,
    arrival: ArrivalFields,
  ): Promise<void> {
    try {
      const body = await readRequestBody(
        request,
        REQUEST.REPLAY_BODY_BYTES,
        REQUEST.MAX_BODY_BYTES,
      );
      const outgoing: OutgoingRequest = {
        method: request.method ?? "GET",
        path: targetPath(request.url ?? "/", arrival.queue),
        headers: passedHeaders(request.headers),
        body,
      };
      const hungUp = new AbortController();
      this.open(arrival, { arrival, outgoing, response, hungUp, settled: false });
    } catch {
      response.destroy();
    }
  }

  private open(arrival: ArrivalFields, exchange: Exchange): void {
    this.exchanges.set(arrival.requestId, exchange);
    exchange.response.once("close", () => {
      this.exchanges.delete(arrival.requestId);
      if (!exchange.settled) {
        exchange.hungUp.abort();
        this.handler.cancelled(arrival.requestId);
      }
    });
    this.handler.arrived(arrival);
  }
}
