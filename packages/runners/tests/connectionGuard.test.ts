import { createServer, type ServerResponse } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  ConnectionGuard,
  LimitObserver,
  MET_LIMIT,
  type ListenerLimits,
  type MetLimit,
} from "../src/index.js";

const LIMITS: ListenerLimits = { maxConnections: 4, aheadBudgetBytes: 1_000_000 };

/** Time after which the server reads the body of a request that asks for it. */
const LATE_MS = 50;

const requestFor = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

class RecordingObserver extends LimitObserver {
  readonly limits: MetLimit[] = [];

  override met(limit: MetLimit): void {
    this.limits.push(limit);
  }
}

interface Guarded {
  readonly observer: RecordingObserver;
  /** Paths of the requests that the server has received, in their order. */
  readonly paths: string[];
  readonly responses: ServerResponse[];
  /** Connects a client; `received` grows by what it receives. */
  readonly client: () => { readonly socket: Socket; readonly received: string[] };
}

const startGuarded = async (t: ExecutionContext, limits = LIMITS): Promise<Guarded> => {
  const server = createServer();
  const observer = new RecordingObserver();
  const guard = new ConnectionGuard(server, limits, observer);
  const paths: string[] = [];
  const responses: ServerResponse[] = [];
  server.on("request", (request, response) => {
    guard.beginRequest(request.socket);
    response.once("close", () => {
      guard.endRequest(request.socket);
    });
    if (request.headers["x-late"] === undefined) {
      request.resume();
    } else {
      // As a proxy reads whose target is busy.
      setTimeout(() => request.resume(), LATE_MS);
    }
    request.once("end", () => {
      paths.push(request.url ?? "");
      responses.push(response);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const sockets: Socket[] = [];
  t.teardown(() => {
    sockets.forEach((socket) => {
      socket.destroy();
    });
    server.close();
  });
  const client = (): { socket: Socket; received: string[] } => {
    const socket = connect(port, "127.0.0.1");
    const received: string[] = [];
    socket.on("error", () => undefined);
    socket.on("data", (part) => received.push(part.toString()));
    sockets.push(socket);
    return { socket, received };
  };
  return { observer, paths, responses, client };
};

const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
};

test("a request is handled before the one ahead of it is answered", async (t) => {
  const { client, paths, responses } = await startGuarded(t);
  client().socket.write(["/1", "/2", "/3"].map(requestFor).join(""));
  await until(() => paths.length === 1);
  const { socket: other } = client();
  other.write(requestFor("/other"));
  await until(() => paths.includes("/other"));
  t.deepEqual(paths, ["/1", "/other"]);
  responses[0]?.end();
  await until(() => paths.length === 3);
  t.is(paths[2], "/2");
});

test("requests ahead of their answers are lost, or answered out of order", async (t) => {
  const { client, paths, responses } = await startGuarded(t);
  const { socket, received } = client();
  const body = "GET /in-body HTTP/1.1\r\nhost: a\r\n\r\n";
  const announced = `POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  const size = body.length.toString(16);
  const chunked = `POST /b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${size}\r\n${body}\r\n0\r\n\r\n`;
  socket.write(announced + chunked + requestFor("/c"));
  for (let answered = 0; answered < 3; answered += 1) {
    await until(() => responses.length > answered);
    responses[answered]?.end(`answer ${answered}`);
  }
  await until(() => received.join("").includes("answer 2"));
  t.deepEqual(paths, ["/a", "/b", "/c"]);
  t.deepEqual(received.join("").match(/answer \d/gu), ["answer 0", "answer 1", "answer 2"]);
});

test("a client that disconnects while its request waits is not noticed", async (t) => {
  const { client, responses } = await startGuarded(t);
  const { socket } = client();
  socket.write(requestFor("/1"));
  await until(() => responses.length === 1);
  socket.destroy();
  await until(() => responses[0]?.closed === true);
  t.false(responses[0]?.writableFinished);
});

test("what is sent ahead exceeds the budget, or takes it from later clients", async (t) => {
  const aheadBudgetBytes = 10_000;
  const { client, observer, responses, paths } = await startGuarded(t, {
    ...LIMITS,
    aheadBudgetBytes,
  });
  const { socket } = client();
  socket.write(requestFor("/1") + "x".repeat(aheadBudgetBytes + 1));
  await until(() => socket.destroyed);
  t.deepEqual(observer.limits, [MET_LIMIT.BYTES_AHEAD]);
  client().socket.write(requestFor("/a") + requestFor("/b").repeat(200));
  await until(() => paths.includes("/a"));
  responses.at(-1)?.end();
  await until(() => paths.includes("/b"));
  t.is(observer.limits.length, 1);
});

test("an unknown expectation is not refused, or requests behind it are read", async (t) => {
  const { client, paths } = await startGuarded(t);
  const { socket, received } = client();
  socket.write(`GET /1 HTTP/1.1\r\nhost: a\r\nexpect: more\r\n\r\n${requestFor("/2").repeat(400)}`);
  await until(() => socket.destroyed);
  t.regex(received.join(""), /^HTTP\/1\.1 417 /u);
  t.deepEqual(paths, []);
});

test("a body that the server reads late is never read to its end", async (t) => {
  const { client, paths } = await startGuarded(t);
  const content = "x".repeat(1_000_000);
  const head = "HTTP/1.1\r\nhost: a\r\nx-late: 1\r\n";
  client().socket.write(`POST /sized ${head}content-length: ${content.length}\r\n\r\n${content}`);
  const size = content.length.toString(16);
  const chunk = `${size}\r\n${content}\r\n0\r\n\r\n`;
  client().socket.write(`POST /chunked ${head}transfer-encoding: chunked\r\n\r\n${chunk}`);
  await until(() => paths.length === 2);
  t.deepEqual([...paths].sort(), ["/chunked", "/sized"]);
});
