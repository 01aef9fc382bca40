import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { Pool } from "undici";
import { FORWARDING } from "./constants.js";

/** Origins of the targets, to which requests go in turn. */
const origins = process.argv.slice(2);
const pools = origins.map((origin) => new Pool(origin, { connections: FORWARDING.CONNECTIONS }));
let next = 0;

const forward = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
  next = (next + 1) % pools.length;
  const targetResponse = await pools[next]?.request({
    method: request.method ?? "GET",
    path: request.url ?? "/",
    body: request.method === "GET" ? null : request,
  });
  if (targetResponse !== undefined) {
    const headers = { ...targetResponse.headers, connection: "keep-alive" };
    response.writeHead(targetResponse.statusCode, headers);
    await pipeline(targetResponse.body, response);
  }
};

const server = createServer((request, response) => {
  forward(request, response).catch(() => {
    response.destroy();
  });
});

server.listen(0, "127.0.0.1", () => {
  process.send?.(server.address());
});
