import { Code, ConnectError, createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import type { Address } from "@heatherferry/common";
import type { PeerMessage, PeerView, TableRange } from "@heatherferry/core";
import {
  decodeOutcome,
  decodeView,
  encodeEnvelope,
  encodeForwarded,
  encodeViewRequest,
  PeerService,
  type ForwardedOutcome,
  type ForwardedRequest,
  type PeerSender,
} from "@heatherferry/wire";
import { PEER_CALL } from "./constants.js";
import { notSentError, unansweredError, type PeerError } from "./errors.js";
import { PeerLink } from "./peerLink.js";

interface Connection {
  readonly session: Http2SessionManager;
  readonly client: Client<typeof PeerService>;
  sendsInFlight: number;
  forwardsInFlight: number;
}

/** Codes of calls that got no answer, as opposed to an error that the peer returned. */
const NO_ANSWER_CODES: ReadonlySet<Code> = new Set([
  Code.DeadlineExceeded,
  Code.Unavailable,
  Code.Aborted,
]);

const connectTo = (peerAddress: Address): Connection => {
  const baseUrl = `http://${peerAddress}`;
  const session = new Http2SessionManager(baseUrl, {
    pingIntervalMs: PEER_CALL.PING_INTERVAL_MS,
    pingTimeoutMs: PEER_CALL.PING_TIMEOUT_MS,
    idleConnectionTimeoutMs: PEER_CALL.IDLE_CONNECTION_TIMEOUT_MS,
  });
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "2",
    sessionManager: session,
    readMaxBytes: PEER_CALL.MAX_MESSAGE_BYTES,
  });
  return {
    session,
    client: createClient(PeerService, transport),
    sendsInFlight: 0,
    forwardsInFlight: 0,
  };
};

const connectWithTimeout = async (session: Http2SessionManager): Promise<string> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<string>((resolve) => {
    timer = setTimeout(resolve, PEER_CALL.CONNECT_TIMEOUT_MS, "error");
  });
  try {
    return await Promise.race([session.connect(), timeout]);
  } finally {
    clearTimeout(timer);
  }
};

/** Uses one HTTP/2 connection per peer and replaces it when a call on it gets no answer. */
export class ConnectPeerLink extends PeerLink {
  private readonly connections = new Map<Address, Connection>();

  /**
   * @param sender - Id and incarnation of this entry host.
   */
  constructor(private readonly sender: PeerSender) {
    super();
  }

  override async send(to: Address, message: PeerMessage): Promise<void> {
    const request = encodeEnvelope({ sender: this.sender, message });
    const connection = await this.open(to);
    if (connection.sendsInFlight >= PEER_CALL.MAX_SENDS_IN_FLIGHT) {
      throw notSentError(to);
    }
    connection.sendsInFlight += 1;
    try {
      await connection.client.deliver(request, { timeoutMs: PEER_CALL.SEND_TIMEOUT_MS });
    } catch (cause) {
      throw this.toPeerError(to, connection, cause);
    } finally {
      connection.sendsInFlight -= 1;
    }
  }

  override async readView(to: Address, ranges: readonly TableRange[]): Promise<PeerView> {
    const request = encodeViewRequest(ranges);
    const connection = await this.open(to);
    try {
      const timeoutMs = PEER_CALL.READ_VIEW_TIMEOUT_MS;
      return decodeView(await connection.client.readView(request, { timeoutMs }));
    } catch (cause) {
      throw this.toPeerError(to, connection, cause);
    }
  }

  override async forward(
    to: Address,
    request: ForwardedRequest,
    signal: AbortSignal,
  ): Promise<ForwardedOutcome> {
    const encoded = encodeForwarded(this.sender, request);
    const connection = await this.open(to);
    connection.forwardsInFlight += 1;
    try {
      // The timeout header of the protocol accepts only whole milliseconds.
      const timeoutMs = Math.max(1, Math.ceil(request.timeoutMs));
      return decodeOutcome(await connection.client.runRequest(encoded, { timeoutMs, signal }));
    } catch (cause) {
      // Keeps the connection: the request itself may be slow, and pings detect a dead connection.
      throw unansweredError(to, cause);
    } finally {
      connection.forwardsInFlight -= 1;
    }
  }

  override close(): Promise<void> {
    for (const { session } of this.connections.values()) {
      session.abort(new Error("This entry host is closing its peer connections"));
    }
    this.connections.clear();
    return Promise.resolve();
  }

  private connectionTo(to: Address): Connection {
    const existing = this.connections.get(to);
    if (existing !== undefined) {
      return existing;
    }
    const created = connectTo(to);
    this.connections.set(to, created);
    return created;
  }

  private async open(to: Address): Promise<Connection> {
    const connection = this.connectionTo(to);
    const state = await connectWithTimeout(connection.session);
    if (state === "error") {
      this.retire(to, connection);
      throw notSentError(to);
    }
    return connection;
  }

  private toPeerError(to: Address, connection: Connection, cause: unknown): PeerError {
    if (cause instanceof ConnectError && NO_ANSWER_CODES.has(cause.code)) {
      this.retire(to, connection);
    }
    return unansweredError(to, cause);
  }

  /** Stops using a connection on which a call got no answer, since it may be dead. */
  private retire(to: Address, connection: Connection): void {
    if (this.connections.get(to) === connection) {
      this.connections.delete(to);
    }
    if (connection.forwardsInFlight === 0) {
      connection.session.abort(
        new Error(`A call to ${to} got no answer; the next call opens a new connection`),
      );
    }
  }
}
