/**
 * HTTP server of a stand-in: JSON in, JSON out, on a free loopback port.
 */
import { createServer } from "node:http";

const KEEP_ALIVE_MS = 65_000;

/** Reply of a handler that leaves the call without an answer; its connection stays silent. */
export const NO_ANSWER = Symbol("no answer");

/** Reply of a handler after which the connection is reset. */
export const RESET = Symbol("reset");

const readText = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
};

/**
 * Starts a server.
 *
 * @param handle - Receives method, URL, body and headers; returns `{ status, body }`, `NO_ANSWER` or
 *   `RESET`.
 * @returns Its address, and functions to close it and to break its connections.
 */
export const serveJson = async (handle) => {
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
    const answer = async () => {
      const text = await readText(request);
      const url = new URL(request.url, "http://stand-in");
      const body = text === "" ? null : JSON.parse(text);
      const reply = await handle(request.method, url, body, request.headers, request.socket);
      if (reply === NO_ANSWER) {
        return;
      }
      if (reply === RESET) {
        request.socket.resetAndDestroy();
        return;
      }
      response.writeHead(reply.status, { "content-type": "application/json" });
      response.end(JSON.stringify(reply.body ?? {}));
    };
    answer().catch(() => {
      request.socket.destroy();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    dropConnections: () => {
      server.closeAllConnections();
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};
