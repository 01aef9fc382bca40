import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
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
import { PEER_CALL } from "./constants.js";
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

  /**
   * @param handler - Handles the calls.
   */
  constructor(handler: PeerRequestHandler) {
    super();
    const adapter = connectNodeAdapter({
      routes: routesTo(handler),
      connect: true,
      grpc: false,
      grpcWeb: false,
      readMaxBytes: PEER_CALL.MAX_MESSAGE_BYTES,
    });
    this.server = createServer(adapter);
    this.server.on("session", (session) => {
      this.sessions.add(session);
      session.once("close", () => this.sessions.delete(session));
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
}
