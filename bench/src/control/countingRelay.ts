import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** Passes TCP connections on and counts their bytes. */
export class CountingRelay {
  bytes = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  /**
   * @param host - Host to pass connections on to.
   * @param port - Its port.
   */
  constructor(host: string, port: number) {
    this.server = createServer((inner) => {
      const outer = connect(port, host);
      this.join(inner, outer);
      this.join(outer, inner);
    });
  }

  /** @returns `host:port` that the relay listens on. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, "127.0.0.1", resolve);
    });
    const bound = this.server.address() as AddressInfo;
    return `${bound.address}:${bound.port}`;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on("data", (chunk: Buffer) => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.once("close", () => {
      this.sockets.delete(from);
      to.destroy();
    });
    from.on("error", () => {
      to.destroy();
    });
  }
}
