import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";

/** Passes the connections of one node on to the store, until it is cut. */
export class StoreProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private isCut = false;

  /** @param storeAddress - `host:port` of the store. */
  constructor(storeAddress: string) {
    const [host, port] = storeAddress.split(":");
    this.server = createServer((client) => {
      const store = connect(Number(port), host);
      this.track(client, store);
      this.track(store, client);
    });
  }

  /** Starts to listen and returns the address as `host:port`. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Holds back all bytes, both ways, without closing a connection. */
  cut(): void {
    this.isCut = true;
    this.sockets.forEach((socket) => socket.pause());
  }

  /** Passes on what was held back, and all that follows. */
  heal(): void {
    this.isCut = false;
    this.sockets.forEach((socket) => socket.resume());
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private track(socket: Socket, other: Socket): void {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("data", (bytes) => {
      other.write(bytes);
    });
    socket.on("error", () => {
      other.destroy();
    });
    socket.on("close", () => {
      this.sockets.delete(socket);
      other.destroy();
    });
    if (this.isCut) {
      socket.pause();
    }
  }
}
