import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { ByteBudget, ConnectionSlots } from "@heatherferry/coordination";
import { ConnectionTurns } from "./connectionTurns.js";
import { CLIENT_LIMIT, MET_LIMIT, type MetLimit } from "./constants.js";
import type { LimitObserver } from "./limitObserver.js";
import { gateConnections } from "./gateConnections.js";
import { PacedConnection } from "./pacedConnection.js";

/** Prefix of the codes of the errors that the HTTP parser reports. */
const PARSER_ERROR_PREFIX = "HPE_";

const LIMIT_BY_ERROR_CODE: Readonly<Partial<Record<string, MetLimit>>> = {
  HPE_HEADER_OVERFLOW: MET_LIMIT.HEADER_SIZE,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: MET_LIMIT.HEADER_SIZE,
  ERR_HTTP_REQUEST_TIMEOUT: MET_LIMIT.REQUEST_TIME,
};

/** Returns the limit that an error stands for; null if the client only disconnected. */
const limitOfError = (code: string): MetLimit | null =>
  LIMIT_BY_ERROR_CODE[code] ?? (code.startsWith(PARSER_ERROR_PREFIX) ? MET_LIMIT.MALFORMED : null);

const BAD_REQUEST = "400 Bad Request";

const STATUS_LINE: Readonly<Partial<Record<MetLimit, string>>> = {
  [MET_LIMIT.HEADER_SIZE]: "431 Request Header Fields Too Large",
  [MET_LIMIT.REQUEST_TIME]: "408 Request Timeout",
};

const EXPECTATION_FAILED = 417;

/** Events by which an HTTP server reports a request. */
const REQUEST_EVENTS = ["request", "checkContinue", "checkExpectation"] as const;

/** Limits of a listener. */
export interface ListenerLimits {
  readonly maxConnections: number;
  /** Bytes that all clients may have sent ahead of the answer that they wait for. */
  readonly aheadBudgetBytes: number;
}

/** Options of an HTTP server whose clients may not keep to any limit. */
export const GUARDED_SERVER_OPTIONS = {
  maxHeaderSize: CLIENT_LIMIT.MAX_HEADER_BYTES,
  headersTimeout: CLIENT_LIMIT.REQUEST_TIMEOUT_MS,
  requestTimeout: CLIENT_LIMIT.REQUEST_TIMEOUT_MS,
  keepAliveTimeout: CLIENT_LIMIT.IDLE_TIMEOUT_MS,
  connectionsCheckingInterval: CLIENT_LIMIT.CHECK_INTERVAL_MS,
} as const;

/**
 * Lets an HTTP server read its connections one request at a time, and closes those whose clients
 * exceed the limits.
 */
export class ConnectionGuard {
  private readonly slots: ConnectionSlots<Duplex>;
  private readonly aheadBudget: ByteBudget;
  private readonly turns = new ConnectionTurns();

  /**
   * @param server - The server, before it listens and before it has handlers of requests.
   * @param limits - Limits of the listener.
   * @param observer - Learns of each connection that is closed.
   */
  constructor(
    server: Server,
    { maxConnections, aheadBudgetBytes }: ListenerLimits,
    private readonly observer: LimitObserver,
  ) {
    this.slots = new ConnectionSlots({
      maxConnections,
      maxOpenRequests: CLIENT_LIMIT.MAX_OPEN_REQUESTS,
    });
    this.aheadBudget = new ByteBudget(aheadBudgetBytes);
    this.paceConnections(server);
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.reject(error, socket);
      socket.destroy();
    });
  }

  /** Number of open connections. */
  get connections(): number {
    return this.slots.size;
  }

  /**
   * Notes that a whole request has been received.
   *
   * @param socket - Its connection.
   * @returns Whether the request may be handled; if not, its connection has been closed.
   */
  beginRequest(socket: Duplex): boolean {
    if (socket.destroyed) {
      return false;
    }
    if (socket.writableNeedDrain) {
      this.close(socket, MET_LIMIT.UNREAD_ANSWERS);
      return false;
    }
    if (!this.slots.beginRequest(socket)) {
      this.close(socket, MET_LIMIT.OPEN_REQUESTS);
      return false;
    }
    return true;
  }

  /**
   * Notes that a request has been answered or its connection is closed.
   *
   * @param socket - Connection of the request.
   */
  endRequest(socket: Duplex): void {
    this.slots.endRequest(socket);
  }

  /** Hands connections to the server's own handlers in a form that is read request by request. */
  private paceConnections(server: Server): void {
    gateConnections(server, (socket) => {
      const connection = new PacedConnection(socket, this.turns, this.aheadBudget, this.observer);
      this.accept(connection);
      return connection;
    });
    const beginRequest = (request: IncomingMessage, response: ServerResponse): void => {
      const connection: Duplex = request.socket;
      if (connection instanceof PacedConnection) {
        connection.beginRequest(request, response);
      }
    };
    REQUEST_EVENTS.forEach((event) => server.on(event, beginRequest));
    server.on("checkExpectation", (_request: IncomingMessage, response: ServerResponse) => {
      response.writeHead(EXPECTATION_FAILED, { connection: "close" }).end();
    });
  }

  private accept(socket: Duplex): void {
    socket.once("close", () => {
      this.slots.close(socket);
    });
    const evicted = this.slots.open(socket);
    if (evicted !== null) {
      this.close(evicted, MET_LIMIT.CONNECTIONS);
    }
  }

  private close(socket: Duplex, limit: MetLimit): void {
    this.observer.met(limit);
    this.slots.close(socket);
    socket.destroy();
  }

  private reject({ code = "" }: NodeJS.ErrnoException, socket: Duplex): void {
    const limit = limitOfError(code);
    if (limit !== null && !socket.destroyed) {
      this.observer.met(limit);
      if (socket.writable && socket.writableLength === 0 && !this.slots.isInUse(socket)) {
        socket.write(`HTTP/1.1 ${STATUS_LINE[limit] ?? BAD_REQUEST}\r\nconnection: close\r\n\r\n`);
      }
    }
  }
}
