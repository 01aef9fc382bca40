import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ClientScript } from "./clientScripts.js";

const POLL_INTERVAL_MS = 100;

/** Polls without progress after which the crowd counts as settled. */
const QUIET_POLLS = 10;

/** Connections that send the same script to one address. */
export class ClientCrowd {
  private readonly sockets: Socket[];
  private readonly timers: NodeJS.Timeout[] = [];

  /**
   * Opens the connections.
   *
   * @param address - `host:port` of the server.
   * @param connections - Number of connections.
   * @param script - What each connection sends.
   */
  constructor(
    address: string,
    connections: number,
    private readonly script: ClientScript,
  ) {
    const [host, port] = address.split(":");
    this.sockets = Array.from({ length: connections }, () => {
      const socket = connect({ host, port: Number(port) });
      socket.on("error", () => undefined);
      socket.once("connect", () => {
        void this.send(socket);
      });
      if (script.readsAnswers) {
        socket.resume();
      }
      return socket;
    });
  }

  /** Number of connections that the server has not closed. */
  get openConnections(): number {
    return this.sockets.filter(({ destroyed }) => !destroyed).length;
  }

  /**
   * Waits until no connection sends, receives or closes any more, apart from single delayed bytes,
   * and the server has accepted all connections.
   *
   * @param descriptorsOf - Returns the number of descriptors that the server has open; called
   *   repeatedly until then.
   */
  async settle(descriptorsOf: () => number): Promise<void> {
    let progress = -1;
    for (let quietPolls = 0; quietPolls < QUIET_POLLS;) {
      await sleep(POLL_INTERVAL_MS);
      const before = progress;
      progress = this.progress() + descriptorsOf();
      quietPolls = before === progress ? quietPolls + 1 : 0;
    }
  }

  /** Waits until each connection has received the start of an answer, or is closed. */
  async firstAnswers(): Promise<void> {
    while (this.sockets.some(({ destroyed, bytesRead }) => !destroyed && bytesRead === 0)) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.timers.forEach((timer) => {
      clearInterval(timer);
    });
    this.sockets.forEach((socket) => {
      socket.destroy();
    });
  }

  private progress(): number {
    const moved = this.sockets.map((socket) =>
      this.script.trickleMs === null
        ? socket.bytesWritten - socket.writableLength + socket.bytesRead
        : socket.bytesRead,
    );
    return moved.reduce((sum, bytes) => sum + bytes, 0) - this.openConnections;
  }

  private async send(socket: Socket): Promise<void> {
    const { start, piece, pieces, trickleMs } = this.script;
    socket.write(start, "latin1");
    if (trickleMs !== null) {
      this.timers.push(
        setInterval(() => {
          socket.write(piece.subarray(0, 1));
        }, trickleMs),
      );
      return;
    }
    for (let sent = 0; sent < pieces && !socket.destroyed; sent += 1) {
      if (!socket.write(piece)) {
        await new Promise<void>((resolve) => {
          socket.once("drain", resolve);
          socket.once("close", resolve);
        });
      }
    }
  }
}
