// Small JSON servers and clients on loopback addresses, for the stand-ins of this review.

import http from "node:http";
import net from "node:net";

/** Ports that this script has given out. */
const taken = new Set();

const isFree = async (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });

/** Returns a free port below the range that the system gives to outgoing connections. */
export const freePort = async () => {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (!taken.has(port) && (await isFree(port))) {
      taken.add(port);
      return port;
    }
  }
};

const readText = async (stream) => {
  const parts = [];
  for await (const part of stream) {
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
};

/**
 * Starts an HTTP server that answers JSON.
 *
 * @param handle - Gets method, URL, body and headers; returns `{ status, body }`, or null to leave
 *   the call without an answer.
 * @returns The address as `host:port`, and a function that closes the server.
 */
export const serveJson = async (handle) => {
  const server = http.createServer({ keepAliveTimeout: 65_000 }, async (request, response) => {
    try {
      const text = await readText(request);
      const url = new URL(request.url ?? "/", "http://stand-in");
      const body = text === "" ? null : JSON.parse(text);
      const reply = await handle(request.method, url, body, request.headers);
      if (reply !== null) {
        response.writeHead(reply.status, { "content-type": "application/json" });
        response.end(JSON.stringify(reply.body ?? {}));
      }
    } catch {
      response.destroy();
    }
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

/**
 * Makes one call on a connection of its own.
 *
 * @returns `{ status, body }`; status is null if there was no complete answer in time.
 */
export const callJson = async (address, method, path, { headers = {}, body, timeoutMs = 3_000 }) =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        },
      },
      async (response) => {
        try {
          const answer = await readText(response);
          finish({
            status: response.statusCode,
            body: answer.startsWith("{") ? JSON.parse(answer) : {},
          });
        } catch {
          finish({ status: null, body: {} });
        }
      },
    );
    const timer = setTimeout(() => request.destroy(new Error("timeout")), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.once("error", () => finish({ status: null, body: {} }));
    request.end(text);
  });
