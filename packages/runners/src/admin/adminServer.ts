import type { Server, ServerResponse } from "node:http";
import findMyWay from "find-my-way";
import type { Registry } from "prom-client";
import type { LimitObserver } from "../listeners/limitObserver.js";
import { createProbeServer } from "../listeners/probeServer.js";
import type { TraceRecorder } from "../trace/traceRecorder.js";

/** Reports whether the process is ready to serve. */
export abstract class HealthSource {
  /** Returns why the process is not ready, or null if it is. */
  abstract notReadyReason(): string | null;
}

const sendText = (response: ServerResponse, statusCode: number, text: string): void => {
  response.writeHead(statusCode, { "content-type": "text/plain; charset=utf-8" });
  response.end(`${text}\n`);
};

/** Serves `/metrics`, `/livez`, `/readyz` and, if events are recorded, `/trace`. */
export class AdminServer {
  private readonly server: Server;

  /**
   * @param registry - Metrics to serve.
   * @param health - Answers `/readyz`.
   * @param observer - Learns of clients that meet a limit.
   * @param trace - Recorded events; null if events are not recorded.
   */
  constructor(
    registry: Registry,
    health: HealthSource,
    observer: LimitObserver,
    trace: TraceRecorder | null = null,
  ) {
    const router = findMyWay();
    router.on("GET", "/livez", (_request, response) => {
      sendText(response, 200, "ok");
    });
    router.on("GET", "/readyz", (_request, response) => {
      const reason = health.notReadyReason();
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
    this.server = createProbeServer((request, response) => {
      router.lookup(request, response);
    }, observer);
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
      this.server.listen(port, host, resolve);
    });
    const bound = this.server.address();
    return typeof bound === "object" && bound !== null ? `${bound.address}:${bound.port}` : host;
  }

  /** Closes the listener and all connections immediately. */
  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }
}
