import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ByteBudget } from "@heatherferry/coordination";
import type { ConnectionTurns } from "./connectionTurns.js";
import { CLIENT_LIMIT, MET_LIMIT } from "./constants.js";
import { GatedConnection } from "./gatedConnection.js";
import type { LimitObserver } from "./limitObserver.js";
import { announcedBytesOf, onceClosed } from "./requests.js";

/** The empty line that ends the header of a request; lines may end without a carriage return. */
const EMPTY_LINES = ["\n\r\n", "\n\n"] as const;

/** Memory that a header takes as objects, as a multiple of its bytes. */
const MEMORY_PER_HEADER_BYTE = 5;

/** Parts of a body that are passed on in one turn. */
const MAX_PARTS_PER_TURN = 16;

/** Returns the number of bytes up to the end of the first empty line, or of all bytes. */
const lengthToEmptyLine = (bytes: Buffer): number =>
  EMPTY_LINES.reduce((length, line) => {
    const at = bytes.subarray(0, length).indexOf(line, 0, "latin1");
    return at === -1 ? length : at + line.length;
  }, bytes.length);

/** A request whose answer is not complete, or whose body is not. */
interface RequestInProgress {
  readonly request: IncomingMessage;
  /** Bytes of its body that have not been passed on; null if the body announces no size. */
  bodyBytesLeft: number | null;
  isAnswered: boolean;
}

/**
 * A client's connection that an HTTP server reads one request at a time. What the client sends
 * ahead of an answer stays in the buffer of its socket, which is not read further, and counts toward
 * a budget that all connections share, as do the headers of requests in progress. Otherwise the
 * server would create objects for each request of a read, hundreds on each connection, before any
 * limit could apply.
 */
export class PacedConnection extends GatedConnection {
  private current: RequestInProgress | null = null;
  private reservedBytes = 0;
  /** Bytes of headers and trailers that the server keeps for the request in progress. */
  private headerBytes = 0;

  /**
   * @param socket - The client's socket.
   * @param turns - Order in which connections go on that have sent ahead.
   * @param budget - Budget of what all clients have sent ahead, and of headers.
   * @param observer - Learns that the connection is closed for want of room.
   */
  constructor(
    socket: Socket,
    turns: ConnectionTurns,
    private readonly budget: ByteBudget,
    private readonly observer: LimitObserver,
  ) {
    super(socket, turns);
  }

  /**
   * Notes a request that the server has received; no byte behind it is passed on before its
   * response is complete.
   *
   * @param request - The request.
   * @param response - Its response.
   */
  beginRequest(request: IncomingMessage, response: ServerResponse): void {
    const current = { request, bodyBytesLeft: announcedBytesOf(request), isAnswered: false };
    this.current = current;
    onceClosed(response, () => {
      current.isAnswered = true;
      this.headerBytes = 0;
      this.accountBytes();
      if (!this.destroyed && this.socket.readableLength > 0) {
        this.turns.add(this);
      }
    });
  }

  override takeTurn(): void {
    this.received();
  }

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    this.budget.release(this.reservedBytes);
    this.reservedBytes = 0;
    super._destroy(error, callback);
  }

  protected override received(): void {
    for (let parts = 0; !this.destroyed && !this.isHeld; parts += 1) {
      if (parts === MAX_PARTS_PER_TURN) {
        this.turns.add(this);
        break;
      }
      const wasInBody = this.isInBody;
      if (!this.passPart((bytes) => this.partLength(bytes))) {
        break;
      }
      // The server answers some malformed requests without reporting them.
      if (!wasInBody && this.current?.isAnswered !== false) {
        this.turns.add(this);
      }
    }
    this.accountBytes();
  }

  private get isInBody(): boolean {
    return this.current !== null && !this.current.request.complete;
  }

  private get isHeld(): boolean {
    const { current } = this;
    const isUnanswered = current !== null && current.request.complete && !current.isAnswered;
    // A part that the server has not taken yet may hold the end of a request.
    return isUnanswered || this.readableLength > 0 || this.writableEnded || this.turns.has(this);
  }

  private partLength(received: Buffer): number {
    const { current } = this;
    if (current === null || !this.isInBody || current.bodyBytesLeft === null) {
      const length = lengthToEmptyLine(received);
      this.headerBytes = Math.min(this.headerBytes + length, CLIENT_LIMIT.MAX_HEADER_BYTES);
      return length;
    }
    const length = Math.min(received.length, current.bodyBytesLeft);
    current.bodyBytesLeft -= length;
    return length;
  }

  /** Reserves room for headers, and for what waits in the socket's buffer. */
  private accountBytes(): void {
    if (this.destroyed) {
      return;
    }
    this.checkEnd();
    const bytes = this.socket.readableLength + this.headerBytes * MEMORY_PER_HEADER_BYTE;
    if (this.budget.reserve(bytes - this.reservedBytes)) {
      this.reservedBytes = bytes;
    } else {
      this.observer.met(MET_LIMIT.BYTES_AHEAD);
      this.destroy();
    }
  }
}
