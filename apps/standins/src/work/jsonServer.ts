import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Reply to one call. */
export interface Reply {
  readonly status: number;
  readonly body?: unknown;
  /** Whether to destroy the connection without an answer; the call has taken effect. */
  readonly lost?: boolean;
}

const KEEP_ALIVE_TIMEOUT_MS = 65_000;

const readText = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/** HTTP server that answers JSON, on a port that the operating system picks. */
export abstract class JsonServer {
  private readonly server: Server;

  constructor() {
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (request, response) => {
      void this.serve(request, response);
    });
  }

  /**
   * Handles one call and returns the reply.
   *
   * @param connection - The connection on which the call came.
   */
  protected abstract reply(
    method: string,
    url: URL,
    body: unknown,
    headers: IncomingMessage["headers"],
    connection: Socket,
  ): Promise<Reply> | Reply;

  /** Starts to listen and returns the address as `host:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  /** Breaks all connections, as a crash does. */
  protected dropConnections(): void {
    this.server.closeAllConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    const body: unknown = text === "" ? null : JSON.parse(text);
    const url = new URL(request.url ?? "/", "http://stand-in");
    const {
      status,
      body: answer,
      lost,
    } = await this.reply(request.method ?? "GET", url, body, request.headers, request.socket);
    if (lost === true) {
      request.socket.destroy();
      return;
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer ?? {}));
  }
}
