// Small HTTP helpers for the stand-ins: a JSON server on a loopback address, and a JSON client.
import { Agent, createServer, request } from "node:http";

/** Longest time that the client waits for an answer unless a call says otherwise. */
const DEFAULT_TIMEOUT_MS = 3_000;

/**
 * Starts an HTTP server on a free loopback port.
 *
 * @param {(call: {method: string, path: string, query: URLSearchParams, headers: object, body: any,
 *   bytes: number}) => Promise<{status: number, body?: object} | null> | {status: number} | null}
 *   answer - Returns the answer; null to give none.
 */
export const startServer = async (answer) => {
  const server = createServer({ keepAliveTimeout: 65_000 }, (incoming, response) => {
    const parts = [];
    incoming.on("data", (part) => parts.push(part));
    incoming.on("end", async () => {
      const text = Buffer.concat(parts).toString("utf8");
      const url = new URL(incoming.url ?? "/", "http://stand-in");
      const reply = await answer({
        method: incoming.method,
        path: url.pathname,
        query: url.searchParams,
        headers: incoming.headers,
        body: text === "" ? null : JSON.parse(text),
        bytes: Buffer.byteLength(text),
      });
      if (reply !== null && !response.destroyed) {
        response.writeHead(reply.status, { "content-type": "application/json" });
        response.end(JSON.stringify(reply.body ?? {}));
      }
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    dropConnections: () => server.closeAllConnections(),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

const agent = new Agent({ keepAlive: true, maxSockets: 32 });

/**
 * Makes a call.
 *
 * @returns The answer; status 0 if there was none.
 */
export const call = (address, method, path, { headers = {}, body, timeoutMs } = {}) =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const text = body === undefined ? null : JSON.stringify(body);
    const lost = (error) => resolve({ status: 0, body: {}, error: String(error?.code ?? error) });
    const outgoing = request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          ...headers,
          ...(text === null
            ? {}
            : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        },
      },
      (response) => {
        const parts = [];
        response.on("data", (part) => parts.push(part));
        response.on("error", lost);
        response.on("end", () => {
          const answer = Buffer.concat(parts).toString("utf8");
          let parsed = {};
          try {
            parsed = JSON.parse(answer);
          } catch {
            // Not every answer has a body.
          }
          resolve({ status: response.statusCode, body: parsed });
        });
      },
    );
    outgoing.setTimeout(timeoutMs ?? DEFAULT_TIMEOUT_MS, () =>
      outgoing.destroy(new Error("no answer")),
    );
    outgoing.on("error", lost);
    outgoing.end(text ?? undefined);
  });

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
