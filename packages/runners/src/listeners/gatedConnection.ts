import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { ConnectionTurns } from "./connectionTurns.js";

type WriteCallback = (error?: Error | null) => void;

interface PendingWrite {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/**
 * A client's connection that a server reads in parts. What is not passed on yet stays in the buffer
 * of the socket, which is not read further once it is full. Subclasses decide what is passed on.
 */
export abstract class GatedConnection extends Duplex {
  /**
   * @param socket - The client's socket.
   * @param turns - Order in which connections go on that have more to pass on.
   */
  constructor(
    protected readonly socket: Socket,
    protected readonly turns: ConnectionTurns,
  ) {
    super({ decodeStrings: false });
    socket.setNoDelay(true);
    socket.on("readable", () => {
      this.received();
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

  /** Passes on what may be passed on in the turn of this connection. */
  abstract takeTurn(): void;

  /** Handles that the socket may hold bytes, or that the server can take more. */
  protected abstract received(): void;

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

  /** Goes on once the server has taken a part that had to wait for it; `_read` is not called then. */
  override read(size?: number): unknown {
    const part: unknown = super.read(size);
    if (part !== null && this.readableLength === 0 && this.socket.readableLength > 0) {
      this.turns.add(this);
    }
    return part;
  }

  override _read(): void {
    this.received();
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
    this.socket.destroy();
    callback(error);
  }

  /**
   * Passes on the first part of what the socket holds.
   *
   * @param lengthOf - Returns the length of the part.
   * @returns Whether there was anything to pass on.
   */
  protected passPart(lengthOf: (bytes: Buffer) => number): boolean {
    const bytes = this.socket.read() as Buffer | null;
    if (bytes === null) {
      return false;
    }
    const length = lengthOf(bytes);
    if (length < bytes.length) {
      this.socket.unshift(bytes.subarray(length));
    }
    this.push(bytes.subarray(0, length));
    return true;
  }

  /** Lets the socket report that the client has closed its side, if it holds nothing else. */
  protected checkEnd(): void {
    if (this.socket.readableLength === 0) {
      this.socket.read(0);
    }
  }
}
