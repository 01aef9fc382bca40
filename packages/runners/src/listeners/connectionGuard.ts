import type { Server } from "node:http";
import { Socket } from "node:net";
import { ConnectionSlots } from "@heatherferry/coordination";
import { CLIENT_LIMIT, MET_LIMIT, type MetLimit } from "./constants.js";
import type { LimitObserver } from "./limitObserver.js";

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

/** Each request that waits behind another adds a listener. */
const MAX_SOCKET_LISTENERS = CLIENT_LIMIT.MAX_OPEN_REQUESTS + 16;

/** Options of an HTTP server whose clients may not keep to any limit. */
export const GUARDED_SERVER_OPTIONS = {
  maxHeaderSize: CLIENT_LIMIT.MAX_HEADER_BYTES,
  headersTimeout: CLIENT_LIMIT.REQUEST_TIMEOUT_MS,
  requestTimeout: CLIENT_LIMIT.REQUEST_TIMEOUT_MS,
  keepAliveTimeout: CLIENT_LIMIT.IDLE_TIMEOUT_MS,
  connectionsCheckingInterval: CLIENT_LIMIT.CHECK_INTERVAL_MS,
} as const;

/** Closes connections of an HTTP server whose clients exceed the limits of connections. */
export class ConnectionGuard {
  private readonly slots: ConnectionSlots<Socket>;

  /**
   * @param server - The server, before it listens.
   * @param maxConnections - Most connections to keep.
   * @param observer - Learns of each connection that is closed.
   */
  constructor(
    server: Server,
    maxConnections: number,
    private readonly observer: LimitObserver,
  ) {
    this.slots = new ConnectionSlots({
      maxConnections,
      maxOpenRequests: CLIENT_LIMIT.MAX_OPEN_REQUESTS,
    });
    server.on("connection", (socket) => {
      this.accept(socket);
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) {
        this.reject(error, socket);
      }
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
  beginRequest(socket: Socket): boolean {
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
  endRequest(socket: Socket): void {
    this.slots.endRequest(socket);
  }

  private accept(socket: Socket): void {
    socket.setMaxListeners(MAX_SOCKET_LISTENERS);
    socket.once("close", () => {
      this.slots.close(socket);
    });
    const evicted = this.slots.open(socket);
    if (evicted !== null) {
      this.close(evicted, MET_LIMIT.CONNECTIONS);
    }
  }

  private close(socket: Socket, limit: MetLimit): void {
    this.observer.met(limit);
    this.slots.close(socket);
    socket.destroy();
  }

  private reject({ code = "" }: NodeJS.ErrnoException, socket: Socket): void {
    const limit = limitOfError(code);
    if (limit !== null && !socket.destroyed) {
      this.observer.met(limit);
      if (socket.writable && socket.writableLength === 0 && !this.slots.isInUse(socket)) {
        socket.write(`HTTP/1.1 ${STATUS_LINE[limit] ?? BAD_REQUEST}\r\nconnection: close\r\n\r\n`);
      }
    }
  }
}
