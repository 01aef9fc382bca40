import type { Address } from "@heatherferry/common";

/** Where other entry hosts call this one. */
export abstract class PeerServer {
  /**
   * @param host - IP address to listen on.
   * @param port - Port; 0 for one that the operating system picks.
   * @returns Where it listens.
   */
  abstract listen(host: string, port: number): Promise<Address>;

  /** Ends all connections. */
  abstract close(): Promise<void>;
}
