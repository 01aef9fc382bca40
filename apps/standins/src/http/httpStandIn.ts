import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { address, messageOf, type Address } from "@heatherferry/common";
import findMyWay from "find-my-way";
import type { z } from "zod";
import { HTTP_STATUS, SERVER_LIMITS, LOOPBACK } from "./constants.js";
import { readBody } from "./readBody.js";

/** Path parameters of a matched route. */
export type PathParams = Readonly<Record<string, string | undefined>>;

/** Handles one request of a route. */
export type RouteHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  params: PathParams,
) => void | Promise<void>;

/** Handles one request whose JSON body has been validated. */
export type JsonHandler<Body> = (body: Body, response: ServerResponse, params: PathParams) => void;

type Method = "GET" | "PUT" | "POST";

/** HTTP server with liveness and readiness probes, routes and a graceful shutdown. */
export abstract class HttpStandIn {
  private readonly router = findMyWay({
    defaultRoute: (request, response) => {
      this.handleUnmatchedPath(request, response);
    },
  });
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private closing = false;

  constructor() {
    this.server = createServer((request, response) => {
      response.once("finish", () => {
        this.closeIdleDuringShutdown();
      });
      this.router.lookup(request, response);
    });
    this.server.keepAliveTimeout = SERVER_LIMITS.KEEP_ALIVE_TIMEOUT_MS;
    this.server.on("connection", (socket) => {
      this.trackSocket(socket);
    });
    this.route("GET", "/livez", (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, { live: true });
    });
    this.route("GET", "/readyz", (_request, response) => {
      const status = this.closing ? HTTP_STATUS.SERVICE_UNAVAILABLE : HTTP_STATUS.OK;
      this.sendJson(response, status, { ready: !this.closing });
    });
  }

  /** Address that the server listens on, as `host:port`. */
  get address(): Address {
    const { address: host, port } = this.server.address() as AddressInfo;
    return address(`${host}:${port}`);
  }

  /** Origin of the server, as `http://host:port`. */
  get origin(): string {
    return `http://${this.address}`;
  }

  /**
   * Starts to listen.
   *
   * @param port - Port to listen on; 0 lets the operating system pick one.
   * @param host - IP address to listen on.
   * @returns The address that the server listens on.
   * @throws Error when the server cannot listen there, for example because the port is in use.
   */
  async listen(port = 0, host: string = LOOPBACK): Promise<Address> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, () => {
        this.server.off("error", reject);
        resolve();
      });
    });
    return this.address;
  }

  /**
   * Stops accepting connections and waits for the requests in flight.
   *
   * @param graceMs - Time after which the connections that are still open are destroyed.
   */
  async close(graceMs = 0): Promise<void> {
    this.closing = true;
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeIdleConnections();
    if (graceMs === 0) {
      this.destroySockets();
    }
    const graceTimer = setTimeout(() => {
      this.destroySockets();
    }, graceMs);
    await closed;
    clearTimeout(graceTimer);
  }

  /** Handles a request that no route matches. */
  protected handleUnmatchedPath(_request: IncomingMessage, response: ServerResponse): void {
    this.sendJson(response, HTTP_STATUS.NOT_FOUND, { error: "No such path" });
  }

  protected route(method: Method, path: string, handler: RouteHandler): void {
    this.router.on(method, path, (request, response, params) => {
      void this.runHandler(response, () => handler(request, response, params));
    });
  }

  /** Adds a route with a JSON body; a body that does not match the schema is answered with 400. */
  protected jsonRoute<Schema extends z.ZodType>(
    method: Method,
    path: string,
    schema: Schema,
    handler: JsonHandler<z.output<Schema>>,
  ): void {
    this.route(method, path, async (request, response, params) => {
      const text = (await readBody(request)).toString("utf8");
      const body = schema.safeParse(JSON.parse(text));
      if (body.success) {
        handler(body.data, response, params);
        return;
      }
      this.sendJson(response, HTTP_STATUS.BAD_REQUEST, { error: body.error.message });
    });
  }

  protected sendJson(response: ServerResponse, statusCode: number, body: unknown): void {
    this.sendText(response, statusCode, JSON.stringify(body));
  }

  /** Sends a body that is already encoded as JSON. */
  protected sendText(response: ServerResponse, statusCode: number, body: string): void {
    response.writeHead(statusCode, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...(this.closing ? { connection: "close" } : {}),
    });
    response.end(body);
  }

  /** Destroys all connections except one. */
  protected destroySockets(except?: Socket): void {
    for (const socket of [...this.sockets]) {
      if (socket !== except) {
        socket.destroy();
      }
    }
  }

  /** Returns the open connections. */
  protected openSockets(): readonly Socket[] {
    return [...this.sockets];
  }

  /** Closes idle keep-alive connections during shutdown; the server would wait for them. */
  private closeIdleDuringShutdown(): void {
    if (this.closing) {
      setImmediate(() => {
        this.server.closeIdleConnections();
      });
    }
  }

  private trackSocket(socket: Socket): void {
    this.sockets.add(socket);
    socket.once("close", () => this.sockets.delete(socket));
  }

  private async runHandler(
    response: ServerResponse,
    run: () => void | Promise<void>,
  ): Promise<void> {
    try {
      await run();
    } catch (error) {
      if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
      }
      this.sendJson(response, HTTP_STATUS.BAD_REQUEST, { error: messageOf(error) });
    }
  }
}
