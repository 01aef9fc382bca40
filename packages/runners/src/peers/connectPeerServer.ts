import {
  constants,
  createServer,
  type Http2Server,
  type Http2ServerRequest,
  type ServerHttp2Session,
  type ServerHttp2Stream,
} from "node:http2";
import { Code, ConnectError, type ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { address, type Address } from "@heatherferry/common";
import {
  decodeEnvelope,
  decodeForwarded,
  decodeViewRequest,
  encodeOutcome,
  encodeView,
  PeerService,
  decodeSender,
} from "@heatherferry/wire";
import { ConnectionSlots } from "@heatherferry/coordination";
import type { BodyBudgets } from "../listeners/bodyBudgets.js";
import type { ClientLimits } from "../listeners/clientLimits.js";
import { ConnectionTurns } from "../listeners/connectionTurns.js";
import { MET_LIMIT } from "../listeners/constants.js";
import { gateConnections } from "../listeners/gateConnections.js";
import type { LimitObserver } from "../listeners/limitObserver.js";
import { SlicedConnection } from "../listeners/slicedConnection.js";
import { PEER_CALL } from "./constants.js";
import { CountedMessage } from "./countedMessage.js";
import type { PeerRequestHandler } from "./peerRequestHandler.js";
import { PeerServer } from "./peerServer.js";

const routesTo =
  (handler: PeerRequestHandler) =>
  (router: ConnectRouter): void => {
    router.service(PeerService, {
      deliver: (request) => {
        const envelope = decodeEnvelope(request);
        if (envelope === null) {
          throw new ConnectError("This build does not know the message", Code.Unimplemented);
        }
        handler.deliver(envelope);
        return {};
      },
      readView: async (request) => {
        const view = await handler.readView(decodeViewRequest(request));
        if (view === null) {
          throw new ConnectError("This entry host has no view yet", Code.FailedPrecondition);
        }
        return encodeView(view);
      },
      runRequest: async (request, { signal }) => {
        const outcome = await handler.runRequest(
          decodeSender(request.sender),
          decodeForwarded(request),
          signal,
        );
        return encodeOutcome(outcome);
      },
    });
  };

/** Serves calls of other entry hosts over HTTP/2. */
export class ConnectPeerServer extends PeerServer {
  private readonly server: Http2Server;
  private readonly sessions = new Set<ServerHttp2Session>();
  private readonly slots: ConnectionSlots<ServerHttp2Session>;
  /** Open calls of all connections. The one that has waited longest for its message makes room. */
  private readonly calls: ConnectionSlots<ServerHttp2Stream>;

  /**
   * @param handler - Handles the calls.
   * @param limits - Limits on the peers.
   * @param bodies - Memory for the messages of calls.
   * @param observer - Learns of peers that meet a limit.
   */
  constructor(
    handler: PeerRequestHandler,
    { maxPeerConnections, maxPeerCalls }: ClientLimits,
    private readonly bodies: BodyBudgets,
    private readonly observer: LimitObserver,
  ) {
    super();
    const maxOpenRequests = Math.min(PEER_CALL.MAX_OPEN_CALLS, maxPeerCalls);
    this.slots = new ConnectionSlots({ maxConnections: maxPeerConnections, maxOpenRequests });
    this.calls = new ConnectionSlots({ maxConnections: maxPeerCalls, maxOpenRequests: 1 });
    const adapter = connectNodeAdapter({
      routes: routesTo(handler),
      connect: true,
      grpc: false,
      grpcWeb: false,
      readMaxBytes: PEER_CALL.MAX_MESSAGE_BYTES,
    });
    this.server = createServer({
      settings: { maxConcurrentStreams: maxOpenRequests },
    });
    const turns = new ConnectionTurns();
    gateConnections(this.server, (socket) => new SlicedConnection(socket, turns));
    this.server.on("request", (request, response) => {
      if (this.begin(request)) {
        adapter(request, response);
      }
    });
    this.server.on("session", (session) => {
      this.accept(session);
    });
  }

  override async listen(host: string, port: number): Promise<Address> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
    const bound = this.server.address();
    return address(
      typeof bound === "object" && bound !== null ? `${bound.address}:${bound.port}` : host,
    );
  }

  override async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    for (const session of this.sessions) {
      session.destroy();
    }
    await closed;
  }

  private accept(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.once("close", () => {
      this.sessions.delete(session);
      this.slots.close(session);
    });
    const evicted = this.slots.open(session);
    if (evicted !== null) {
      this.observer.met(MET_LIMIT.CONNECTIONS);
      evicted.destroy();
    }
  }

  /** Counts a call and what comes of its message; returns whether the call may be handled. */
  private begin(request: Http2ServerRequest): boolean {
    const { stream } = request;
    const session = stream.session as ServerHttp2Session | undefined;
    if (session === undefined || !this.takeRoom(stream)) {
      return false;
    }
    const message = new CountedMessage(request, this.bodies.read, this.observer);
    let isWhole = false;
    stream.once("end", () => {
      isWhole = true;
      this.slots.beginRequest(session);
      this.calls.beginRequest(stream);
    });
    stream.once("close", () => {
      if (isWhole) {
        this.slots.endRequest(session);
      }
      this.calls.close(stream);
      message.release();
    });
    return true;
  }

  /** Makes room for a call; returns whether there is any. */
  private takeRoom(stream: ServerHttp2Stream): boolean {
    const evicted = this.calls.open(stream);
    if (evicted !== null) {
      this.observer.met(MET_LIMIT.OPEN_REQUESTS);
      evicted.close(constants.NGHTTP2_REFUSED_STREAM);
    }
    return evicted !== stream;
  }
}
