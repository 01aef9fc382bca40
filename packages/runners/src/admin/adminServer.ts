import { createServer, type Server, type ServerResponse } from "node:http";
import findMyWay from "find-my-way";
import type { Registry } from "prom-client";
import type { TraceRecorder } from "../trace/traceRecorder.js";

/** Tells whether the process is fit to be used. */
export abstract class HealthSource {
  /** @returns Null when the process is ready, else what it still lacks. */
  abstract notReadyBecause(): string | null;
}

const sendText = (response: ServerResponse, statusCode: number, text: string): void => {
  response.writeHead(statusCode, { "content-type": "text/plain; charset=utf-8" });
  response.end(`${text}\n`);
};

/** `/metrics`, `/livez`, `/readyz`, and `/trace` where events are recorded. */
export class AdminServer {
  private readonly server: Server;

  /**
   * @param registry - The metrics.
   * @param health - Tells whether the process is ready.
   * @param trace - The recorded events; null where none are.
   */
  constructor(registry: Registry, health: HealthSource, trace: TraceRecorder | null = null) {
    const router = findMyWay();
    router.on("GET", "/livez", (_request, response) => {
      sendText(response, 200, "ok");
    });
    router.on("GET", "/readyz", (_request, response) => {
      const reason = health.notReadyBecause();
      sendText(response, reason === null ? 200 : 503, reason ?? "ok");
    });
    router.on("GET", "/metrics", async (_request, response) => {
      const text = await registry.metrics();
      response.writeHead(200, { "content-type": registry.contentType });
      response.end(text);
    });
    if (trace !== null) {
      router.on("GET", "/trace", (_request, response) => {
        sendText(response, 200, trace.text().trimEnd());
      });
    }
    this.server = createServer((request, response) => {
      router.lookup(request, response);
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
      this.server.listen(port, host, resolve);
    });
    const bound = this.server.address();
    return typeof bound === "object" && bound !== null ? `${bound.address}:${bound.port}` : host;
  }

  /** Stops at once. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }
}
