import type { Address } from "@heatherferry/common";

/** Listens for calls of other entry hosts. */
export abstract class PeerServer {
  /**
   * Starts listening.
   *
   * @param host - IP address to listen on.
   * @param port - Port; 0 lets the operating system choose one.
   * @returns The bound address.
   */
  abstract listen(host: string, port: number): Promise<Address>;

  /** Stops listening and closes all connections immediately. */
  abstract close(): Promise<void>;
}
