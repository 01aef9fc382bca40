import { createServer, type RequestListener, type Server } from "node:http";
import { ConnectionGuard, GUARDED_SERVER_OPTIONS } from "./connectionGuard.js";
import { CLIENT_LIMIT } from "./constants.js";
import type { LimitObserver } from "./limitObserver.js";
import { announcedBytesOf } from "./requests.js";

/**
 * Creates an HTTP server for requests without a body, such as probes and metrics. A client that
 * sends one is disconnected after its answer.
 *
 * @param handle - Answers the requests.
 * @param observer - Learns of clients that meet a limit.
 */
export const createProbeServer = (handle: RequestListener, observer: LimitObserver): Server => {
  const server = createServer(GUARDED_SERVER_OPTIONS);
  const limits = {
    maxConnections: CLIENT_LIMIT.MAX_PROBE_CONNECTIONS,
    aheadBudgetBytes: CLIENT_LIMIT.PROBE_AHEAD_BYTES,
  };
  const guard = new ConnectionGuard(server, limits, observer);
  const receive: RequestListener = (request, response) => {
    const { socket } = request;
    if (!guard.beginRequest(socket)) {
      return;
    }
    response.once("close", () => {
      guard.endRequest(socket);
    });
    if (announcedBytesOf(request) !== 0) {
      response.setHeader("connection", "close");
    }
    handle(request, response);
  };
  server.on("request", receive);
  server.on("checkContinue", receive);
  server.setTimeout(CLIENT_LIMIT.IDLE_TIMEOUT_MS);
  return server;
};
