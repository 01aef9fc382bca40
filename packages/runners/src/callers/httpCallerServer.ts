import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from "node:http";
import { requestId, type Incarnation, type RequestId } from "@heatherferry/common";
import { REFUSAL_KIND, REQUEST, OUTCOME, type Refusal } from "@heatherferry/core";
import findMyWay from "find-my-way";
import type { Ticket, TicketSigner } from "@heatherferry/coordination";
import { CallerServer, type ForwardableRequest, type RelayResult } from "./callerServer.js";
import { CALLER_HEADER, passThroughHeaders } from "./headers.js";
import { isBadHeader, parseArrival, type ArrivalFields } from "./parseArrival.js";
import { refusalAnswer } from "./refusalText.js";
import type { BodyBudgets } from "../listeners/bodyBudgets.js";
import type { ClientLimits } from "../listeners/clientLimits.js";
import { ConnectionGuard, GUARDED_SERVER_OPTIONS } from "../listeners/connectionGuard.js";
import type { LimitObserver } from "../listeners/limitObserver.js";
import { announcedBytesOf, onceClosed } from "../listeners/requests.js";
import { CallerBodies } from "./callerBodies.js";
import { BodyError } from "./errors.js";
import { RequestBody } from "./requestBody.js";
import { streamBody, targetPath } from "./responses.js";
import type { IncomingAnswer, OutgoingRequest } from "./types.js";

/** Options that differ from those of other servers. */
const CALLER_SERVER_OPTIONS = {
  /** A body may wait for its turn at a target before it is read to its end. */
  requestTimeout: 300_000,
} as const;

const NO_BODY = new RequestBody(Buffer.alloc(0), null, 0);

/** Handles callers' requests. */
export abstract class ArrivalHandler {
  /** Handles a request whose headers and first body bytes have been received. */
  abstract arrived(arrival: ArrivalFields): void;

  /** Handles the disconnection of a caller whose request has no outcome yet. */
  abstract cancelled(requestId: RequestId): void;

  /** Whether a request is refused whatever its body holds, so that the body need not be read. */
  abstract isRefusedByHead(arrival: ArrivalFields): boolean;

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

/** The caller API over HTTP/1.1. */
export class HttpCallerServer extends CallerServer {
  private readonly server: Server;
  private readonly guard: ConnectionGuard;
  private readonly bodies: CallerBodies;
  private readonly router = findMyWay({
    ignoreTrailingSlash: true,
    defaultRoute: (_request, response) => {
      this.bodies.answerUnread(
        response,
        404,
        {},
        { message: "No such path. Send requests to /queues/" },
      );
    },
  });
  private readonly ticketCalls = new Map<RequestId, ServerResponse>();
  private readonly exchanges = new Map<RequestId, Exchange>();
  private sequence = 0;
  private shuttingDown = false;

  /**
   * @param incarnation - Prefix that keeps request ids unique across restarts.
   * @param handler - Handles requests.
   * @param signer - Signs and verifies the tickets of this process.
   * @param limits - Limits on the callers.
   * @param budgets - Memory for the bodies of requests.
   * @param observer - Learns of callers that meet a limit.
   */
  constructor(
    private readonly incarnation: Incarnation,
    private readonly handler: ArrivalHandler,
    private readonly signer: TicketSigner,
    limits: ClientLimits,
    budgets: BodyBudgets,
    observer: LimitObserver,
  ) {
    super();
    this.bodies = new CallerBodies(budgets, observer);
    this.router.all("/queues/:queue", this.onQueueRequest.bind(this));
    this.router.all("/queues/:queue/*", this.onQueueRequest.bind(this));
    this.router.on("POST", "/tickets", this.onTicketsRequest.bind(this));
    this.server = createServer({ ...GUARDED_SERVER_OPTIONS, ...CALLER_SERVER_OPTIONS });
    this.guard = new ConnectionGuard(this.server, limits, observer);
    const receive = (request: IncomingMessage, response: ServerResponse): void => {
      // Requests that were received behind the one that the connection was closed for.
      if (!request.socket.destroyed) {
        this.router.lookup(request, response);
      }
    };
    this.server.on("request", receive);
    this.server.on("checkContinue", receive);
    this.router.on("GET", "/", (_request, response) => {
      const answer = { service: "heatherferry", queues: "/queues/<queue>/<path>" };
      this.bodies.answerUnread(response, 200, {}, answer);
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
      this.bodies.answerUnread(response, 200, this.connectionHeaders(), body);
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
    this.bodies.answerUnread(response, statusCode, headers, body);
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
      this.bodies.answerUnread(
        response,
        400,
        {},
        { message: "count must be a whole number above 0" },
      );
      return;
    }
    const { socket } = response.req;
    if (!this.guard.beginRequest(socket)) {
      return;
    }
    const id = this.nextId();
    this.ticketCalls.set(id, response);
    onceClosed(response, () => {
      this.guard.endRequest(socket);
      this.ticketCalls.delete(id);
    });
    this.handler.ticketsRequested(id, count);
  }

  private refuseBadHeader(response: ServerResponse, header: string, remedy: string): void {
    const message = `The header ${header} cannot be understood. ${remedy}. The request has not run.`;
    const body = { outcome: "not-run", kind: "badHeader", message, retryAfterMs: null };
    const headers = { [CALLER_HEADER.OUTCOME]: "not-run", ...this.connectionHeaders() };
    this.bodies.answerUnread(response, 400, headers, body);
  }

  private async acceptRequest(
    request: IncomingMessage,
    response: ServerResponse,
    arrival: ArrivalFields,
  ): Promise<void> {
    try {
      const isBodyNeeded =
        announcedBytesOf(request) !== 0 && !this.handler.isRefusedByHead(arrival);
      const body = isBodyNeeded ? await this.bodies.buffer(request, response) : NO_BODY;
      const outgoing: OutgoingRequest = {
        method: request.method ?? "GET",
        path: targetPath(request.url ?? "/", arrival.queue),
        headers: passThroughHeaders(request.headers),
        body,
      };
      const disconnected = new AbortController();
      this.open({ arrival, outgoing, response, disconnected, settled: false });
    } catch (error) {
      if (error instanceof BodyError) {
        this.refuseBody(response);
      } else {
        response.destroy();
      }
    }
  }

  private refuseBody(response: ServerResponse): void {
    this.sendRefusal(response, {
      outcome: OUTCOME.NOT_RUN,
      kind: REFUSAL_KIND.BODIES_FULL,
      retryAfterMs: MS_PER_SECOND,
    });
  }

  private open(exchange: Exchange): void {
    const { arrival, outgoing, response } = exchange;
    const { socket } = response.req;
    const { bufferedBytes } = outgoing.body;
    if (!this.bodies.reserve(bufferedBytes)) {
      this.refuseBody(response);
      return;
    }
    if (!this.guard.beginRequest(socket)) {
      this.bodies.release(bufferedBytes);
      return;
    }
    this.exchanges.set(arrival.requestId, exchange);
    onceClosed(response, () => {
      this.bodies.release(bufferedBytes);
      this.guard.endRequest(socket);
      this.exchanges.delete(arrival.requestId);
      if (!exchange.settled) {
        exchange.disconnected.abort();
        this.handler.cancelled(arrival.requestId);
      }
    });
    this.handler.arrived(arrival);
  }
}
