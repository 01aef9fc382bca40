import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export interface Reply {
  readonly status: number;
  readonly body?: unknown;
  /** The call is carried out, and the connection ends without an answer. */
  readonly lost?: boolean;
}

/** Callers may leave a connection idle for so long. */
const IDLE_MS = 65_000;

const readText = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/** A small server on a port of the operating system's that answers JSON. */
export abstract class JsonServer {
  private readonly server: Server;

  constructor() {
    this.server = createServer({ keepAliveTimeout: IDLE_MS }, (request, response) => {
      void this.serve(request, response);
    });
  }

  /** @returns What to answer. */
  protected abstract reply(
    method: string,
    url: URL,
    body: unknown,
    headers: IncomingMessage["headers"],
  ): Promise<Reply> | Reply;

  /** @returns `host:port`. */
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

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    const body: unknown = text === "" ? null : JSON.parse(text);
    const url = new URL(request.url ?? "/", "http://stand-in");
    const {
      status,
      body: answer,
      lost,
    } = await this.reply(request.method ?? "GET", url, body, request.headers);
    if (lost === true) {
      request.socket.destroy();
      return;
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer ?? {}));
  }
}
