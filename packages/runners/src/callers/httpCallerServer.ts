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
import { CallerServer, type ForwardableRequest, type RelayResult } from "./callerServer.js";
import { CALLER_HEADER, passThroughHeaders } from "./headers.js";
import { isBadHeader, parseArrival, type ArrivalFields } from "./parseArrival.js";
import { refusalAnswer } from "./refusalText.js";
import { readRequestBody } from "./requestBody.js";
import type { IncomingAnswer, OutgoingRequest } from "./types.js";

/** Handles callers' requests. */
export abstract class ArrivalHandler {
  /** Handles a request whose headers and first body bytes have been received. */
  abstract arrived(arrival: ArrivalFields): void;

  /** Handles the disconnection of a caller whose request has no outcome yet. */
  abstract cancelled(requestId: RequestId): void;

  /** Handles a request for a number of tickets. */
  abstract ticketsRequested(requestId: RequestId, count: number): void;
}

interface Exchange {
  readonly arrival: ArrivalFields;
  readonly outgoing: OutgoingRequest;
  readonly disconnected: AbortController;
  readonly response: ServerResponse;
  /** Whether an outcome is being sent to the caller. */
  settled: boolean;
}

const MS_PER_SECOND = 1_000;
const LISTEN_BACKLOG = 4_096;

const targetPath = (url: string, queue: string): string => {
  const subpath = url.slice(`/queues/${queue}`.length);
  return subpath.startsWith("/") ? subpath : `/${subpath}`;
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
  // Drains the request body: a caller whose upload is cut off would not read the answer.
  response.req.resume();
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(statusCode, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};

/**
 * Streams a body to the caller. Not `stream.pipeline`, which creates an abort signal and an error
 * for every answer.
 */
const streamBody = async (body: Readable, response: ServerResponse): Promise<RelayResult> =>
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

/** The caller API over HTTP/1.1. */
export class HttpCallerServer extends CallerServer {
  private readonly server: Server;
  private readonly router = findMyWay({ ignoreTrailingSlash: true });
  private readonly ticketCalls = new Map<RequestId, ServerResponse>();
  private readonly exchanges = new Map<RequestId, Exchange>();
  private sequence = 0;
  private shuttingDown = false;

  /**
   * @param incarnation - Prefix that keeps request ids unique across restarts.
   * @param handler - Handles requests.
   * @param signer - Signs and verifies the tickets of this process.
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
   * Starts listening.
   *
   * @param host - IP address to listen on.
   * @param port - Port; 0 lets the operating system choose one.
   * @returns The bound address as `host:port`.
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
    const { arrival, outgoing, response, disconnected } = exchange;
    const ticketText = response.req.headers[CALLER_HEADER.TICKET];
    return {
      arrival,
      outgoing,
      ticketText: typeof ticketText === "string" ? ticketText : null,
      signal: disconnected.signal,
    };
  }

  /** Answers a ticket request. The tickets are empty if none can be issued now. */
  sendTickets(id: RequestId, tickets: readonly Ticket[]): void {
    const response = this.ticketCalls.get(id);
    this.ticketCalls.delete(id);
    if (response !== undefined) {
      const body = { tickets: tickets.map((ticket) => this.signer.sign(ticket)) };
      sendJson(response, 200, this.connectionHeaders(), body);
    }
  }

  override async relay(id: RequestId, answer: IncomingAnswer): Promise<RelayResult> {
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
    const end = await streamBody(answer.body, response);
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

  override abortResponse(id: RequestId): void {
    const exchange = this.exchanges.get(id);
    this.exchanges.delete(id);
    exchange?.response.destroy();
  }

  /** Closes idle connections, and sends `connection: close` with each further answer. */
  beginShutdown(): void {
    this.shuttingDown = true;
    this.server.closeIdleConnections();
  }

  override async close(): Promise<void> {
    this.shuttingDown = true;
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
    return this.shuttingDown ? { connection: "close" } : {};
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
    void this.acceptRequest(request, response, arrival);
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

  private async acceptRequest(
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
        headers: passThroughHeaders(request.headers),
        body,
      };
      const disconnected = new AbortController();
      this.open(arrival, { arrival, outgoing, response, disconnected, settled: false });
    } catch {
      response.destroy();
    }
  }

  private open(arrival: ArrivalFields, exchange: Exchange): void {
    this.exchanges.set(arrival.requestId, exchange);
    exchange.response.once("close", () => {
      this.exchanges.delete(arrival.requestId);
      if (!exchange.settled) {
        exchange.disconnected.abort();
        this.handler.cancelled(arrival.requestId);
      }
    });
    this.handler.arrived(arrival);
  }
}
