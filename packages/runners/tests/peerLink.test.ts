import { connect as createSocketTo, createServer, type Socket } from "node:net";
import { install } from "@sinonjs/fake-timers";
import test from "ava";
import {
  address,
  entryHostId,
  hostId,
  incarnation,
  poolId,
  queueId,
  revision,
  rowKey,
  tableVersion,
  teamId,
  writeId,
  type Address,
} from "@heatherferry/common";
import { OUTCOME, REFUSAL_KIND, type PeerMessage, type PeerView } from "@heatherferry/core";
import type { ForwardedOutcome, ForwardedRequest, PeerEnvelope } from "@heatherferry/wire";
import {
  BodyBudgets,
  clientLimitsOf,
  ConnectPeerLink,
  ConnectPeerServer,
  NoLimitObserver,
  PEER_CALL,
  PeerRequestHandler,
} from "../src/index.js";

const VIEW: PeerView = {
  ranges: [{ prefix: rowKey("rules/"), afterVersion: tableVersion(3) }],
  rows: [
    {
      key: rowKey("rules/head"),
      version: tableVersion(7),
      committedAtMs: 12.5,
      writeIds: [writeId("w1")],
      body: {
        type: "rulesHead",
        revision: revision(4),
        text: "team cork\n",
        appliedBy: "ana",
        appliedAtMs: 11,
      },
    },
  ],
  upToVersion: tableVersion(9),
  viewAgeMs: 250,
};

const REQUEST: ForwardedRequest = {
  incarnation: incarnation("b-1"),
  queue: queueId("dies"),
  keyHash: null,
  idempotent: false,
  idempotencyKey: "lot-7",
  ticket: null,
  timeoutMs: 5_000,
  method: "POST",
  path: "/marks?lot=7",
  headers: { "content-type": "text/plain", "x-many": ["1", "2"] },
  body: Buffer.from([0, 255, 10]),
};

class FakeHandler extends PeerRequestHandler {
  readonly envelopes: PeerEnvelope[] = [];
  readonly requests: ForwardedRequest[] = [];
  view: PeerView | null = VIEW;
  outcome: ForwardedOutcome | null = null;

  override deliver(envelope: PeerEnvelope): void {
    this.envelopes.push(envelope);
  }

  override readView(): Promise<PeerView | null> {
    return Promise.resolve(this.view);
  }

  override runRequest(_sender: unknown, request: ForwardedRequest): Promise<ForwardedOutcome> {
    this.requests.push(request);
    return this.outcome === null
      ? Promise.reject(new Error("broken"))
      : Promise.resolve(this.outcome);
  }
}

const LIMITS = {
  ...clientLimitsOf({ memoryMb: 1_024, maxDescriptors: 4_096 }),
  maxPeerConnections: 16,
};

const SENDER = { entryHostId: entryHostId("a"), incarnation: incarnation("a-1") };

const open = async (): Promise<{
  handler: FakeHandler;
  server: ConnectPeerServer;
  link: ConnectPeerLink;
  to: Address;
}> => {
  const handler = new FakeHandler();
  const server = new ConnectPeerServer(
    handler,
    LIMITS,
    new BodyBudgets(LIMITS.bodyBudgetBytes),
    new NoLimitObserver(),
  );
  const to = await server.listen("127.0.0.1", 0);
  return { handler, server, link: new ConnectPeerLink(SENDER), to };
};

const closedPort = async (): Promise<Address> => {
  const { server, link, to } = await open();
  await link.close();
  await server.close();
  return to;
};

const MESSAGES: readonly PeerMessage[] = [
  {
    type: "digest",
    peerAddress: address("127.0.0.1:9"),
    revision: revision(8),
    viewAgeMs: null,
    usage: [{ pool: poolId("p"), team: teamId("t"), slotMs: 12.25 }],
    queued: [{ pool: poolId("p"), count: 3 }],
    dividedAmong: [entryHostId("a"), entryHostId("b")],
  },
  { type: "slotRequest", pool: poolId("p"), count: 2 },
  { type: "slotLoan", loanId: "l", hostId: hostId("h"), count: 1, termMs: 1_500 },
  { type: "slotReturn", loanId: "l", hostId: hostId("h"), count: 1 },
];

test("no field of a message is lost or changed on the way to a peer", async (t) => {
  const { handler, server, link, to } = await open();
  for (const message of MESSAGES) {
    await link.send(to, message);
  }
  t.deepEqual(
    handler.envelopes,
    MESSAGES.map((message) => ({ sender: SENDER, message })),
  );
  await link.close();
  await server.close();
});

test("a view arrives as the peer sent it, and a peer without a view is an error", async (t) => {
  const { handler, server, link, to } = await open();
  t.deepEqual(await link.readView(to, VIEW.ranges), VIEW);
  handler.view = null;
  await t.throwsAsync(link.readView(to, VIEW.ranges), { message: /no view/ });
  await link.close();
  await server.close();
});

test("a forwarded request and its answer arrive whole, bytes and repeated fields too", async (t) => {
  const { handler, server, link, to } = await open();
  handler.outcome = {
    type: "answered",
    statusCode: 201,
    headers: { "set-cookie": ["a=1", "b=2"] },
    body: Buffer.from([1, 0, 254]),
  };
  const outcome = await link.forward(to, REQUEST, new AbortController().signal);
  t.deepEqual(
    handler.requests.map((request) => ({ ...request, body: [...request.body] })),
    [{ ...REQUEST, body: [0, 255, 10] }],
  );
  t.is(outcome.type === "answered" ? [...outcome.body].join() : "", "1,0,254");
  t.deepEqual(outcome.type === "answered" ? outcome.headers : {}, handler.outcome.headers);
  handler.outcome = {
    type: "refused",
    refusal: { outcome: OUTCOME.NOT_RUN, kind: REFUSAL_KIND.QUEUE_FULL, retryAfterMs: 40 },
  };
  t.deepEqual(await link.forward(to, REQUEST, new AbortController().signal), handler.outcome);
  await link.close();
  await server.close();
});

test("a request to a closed port is reported as not sent, one that failed on the peer as unanswered", async (t) => {
  const { handler, server, link, to } = await open();
  const signal = new AbortController().signal;
  await t.throwsAsync(link.forward(await closedPort(), REQUEST, signal), {
    message: /No connection/,
  });
  await t.throwsAsync(link.forward(to, REQUEST, signal), { message: /did not answer/ });
  t.is(handler.requests.length, 1);
  await link.close();
  await server.close();
});

test.serial("an unresponsive connection is replaced by a new one", async (t) => {
  const clock = install({ toFake: ["setTimeout", "clearTimeout"] });
  t.teardown(() => {
    clock.uninstall();
  });
  const { handler, server, link, to } = await open();
  const sockets: Socket[] = [];
  const [host, port] = to.split(":");
  let silent = false;
  let droppedChunks = 0;
  const proxy = createServer((socket) => {
    sockets.push(socket);
    const upstream = createSocketTo(Number(port), host);
    const isFirst = sockets.length === 1;
    socket.on("data", (bytes) => {
      if (silent && isFirst) {
        droppedChunks += 1;
        clock.tick(droppedChunks === 1 ? PEER_CALL.SEND_TIMEOUT_MS : 0);
      } else {
        upstream.write(bytes);
      }
    });
    upstream.on("data", (bytes) => socket.write(bytes));
    socket.on("close", () => upstream.destroy());
    socket.on("error", () => upstream.destroy());
  });
  const proxyAddress = await new Promise<Address>((resolve) => {
    proxy.listen(0, "127.0.0.1", () => {
      const bound = proxy.address();
      resolve(address(`127.0.0.1:${typeof bound === "object" ? (bound?.port ?? 0) : 0}`));
    });
  });
  const [digest] = MESSAGES as readonly [PeerMessage];
  await link.send(proxyAddress, digest);
  silent = true;
  await t.throwsAsync(link.send(proxyAddress, digest), { message: /did not answer/ });
  await link.send(proxyAddress, digest);
  t.is(handler.envelopes.length, 2);
  t.is(sockets.length, 2);
  await link.close();
  await server.close();
  sockets.forEach((socket) => socket.destroy());
  proxy.close();
});
