import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { ByteBudget } from "@heatherferry/coordination";
import type { ConnectionTurns } from "./connectionTurns.js";
import { MET_LIMIT } from "./constants.js";
import type { LimitObserver } from "./limitObserver.js";
import { announcedBytesOf, onceClosed } from "./requests.js";

/** The empty line that ends the header of a request; lines may end without a carriage return. */
const EMPTY_LINES = ["\n\r\n", "\n\n"] as const;

/** Parts of a body that are passed on in one turn. */
const MAX_PARTS_PER_TURN = 16;

/** Returns the number of bytes up to the end of the first empty line, or of all bytes. */
const lengthToEmptyLine = (bytes: Buffer): number =>
  EMPTY_LINES.reduce((length, line) => {
    const at = bytes.subarray(0, length).indexOf(line, 0, "latin1");
    return at === -1 ? length : at + line.length;
  }, bytes.length);

type WriteCallback = (error?: Error | null) => void;

interface PendingWrite {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

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
 * a budget that all connections share. Otherwise the server would create objects for each request
 * of a read, hundreds on each connection, before any limit could apply.
 */
export class PacedConnection extends Duplex {
  private current: RequestInProgress | null = null;
  private reservedBytes = 0;

  /**
   * @param socket - The client's socket.
   * @param budget - Budget of the bytes that all clients have sent ahead.
   * @param turns - Order in which connections go on that have sent ahead.
   * @param observer - Learns that the connection is closed for want of room.
   */
  constructor(
    private readonly socket: Socket,
    private readonly budget: ByteBudget,
    private readonly turns: ConnectionTurns,
    private readonly observer: LimitObserver,
  ) {
    super({ decodeStrings: false });
    socket.on("readable", () => {
      this.passOn();
    });
    socket.once("end", () => {
      this.push(null);
    });
    socket.on("error", (error) => {
      this.destroy(error);
    });
    socket.once("close", () => {
      this.destroy();
    });
    socket.on("timeout", () => {
      this.emit("timeout");
    });
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
      if (!this.destroyed && this.socket.readableLength > 0) {
        this.turns.add(this);
      }
    });
  }

  /** Passes on what has been received, up to the end of a request. */
  takeTurn(): void {
    this.passOn();
  }

  /**
   * Sets the time without a byte after which `timeout` is emitted.
   *
   * @param timeoutMs - The time; 0 for none.
   */
  setTimeout(timeoutMs: number): this {
    this.socket.setTimeout(timeoutMs);
    return this;
  }

  /** Closes the connection once all that was written has been sent; the server calls it. */
  destroySoon(): void {
    this.end();
    if (this.writableFinished) {
      this.destroy();
    } else {
      this.once("finish", () => {
        this.destroy();
      });
    }
  }

  override _read(): void {
    this.passOn();
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
    this.socket.write(chunk, encoding, callback);
  }

  override _writev(writes: PendingWrite[], callback: WriteCallback): void {
    this.socket.cork();
    writes.forEach(({ chunk, encoding }, index) => {
      this.socket.write(chunk, encoding, index === writes.length - 1 ? callback : undefined);
    });
    this.socket.uncork();
  }

  override _final(callback: WriteCallback): void {
    this.socket.end(callback);
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    this.turns.remove(this);
    this.budget.release(this.reservedBytes);
    this.reservedBytes = 0;
    this.socket.destroy();
    callback(error);
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

  private passOn(): void {
    for (let parts = 0; !this.destroyed && !this.isHeld; parts += 1) {
      if (parts === MAX_PARTS_PER_TURN) {
        this.turns.add(this);
        break;
      }
      const received = this.socket.read() as Buffer | null;
      if (received === null) {
        break;
      }
      this.passPart(received);
    }
    this.accountAhead();
  }

  private passPart(received: Buffer): void {
    const wasInBody = this.isInBody;
    const length = this.partLength(received);
    if (length < received.length) {
      this.socket.unshift(received.subarray(length));
    }
    this.push(received.subarray(0, length));
    // The server answers some malformed requests without reporting them.
    if (!wasInBody && this.current?.isAnswered !== false) {
      this.turns.add(this);
    }
  }

  private partLength(received: Buffer): number {
    const { current } = this;
    if (current === null || !this.isInBody || current.bodyBytesLeft === null) {
      return lengthToEmptyLine(received);
    }
    const length = Math.min(received.length, current.bodyBytesLeft);
    current.bodyBytesLeft -= length;
    return length;
  }

  /** Reserves room for what waits in the socket's buffer. */
  private accountAhead(): void {
    if (this.destroyed) {
      return;
    }
    if (this.socket.readableLength === 0) {
      // Lets the socket report that the client has closed its side.
      this.socket.read(0);
    }
    const aheadBytes = this.socket.readableLength;
    if (this.budget.reserve(aheadBytes - this.reservedBytes)) {
      this.reservedBytes = aheadBytes;
    } else {
      this.observer.met(MET_LIMIT.BYTES_AHEAD);
      this.destroy();
    }
  }
}
