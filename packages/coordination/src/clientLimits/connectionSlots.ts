/** Limits of a listener's connections. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Most requests of one connection that wait for their answers. */
  readonly maxOpenRequests: number;
}

/**
 * Decides which connections a listener keeps when clients open more than it can hold. A connection
 * that has waited longest for a whole request makes room for a new one, so that clients that send
 * nothing, or without end, cannot lock the others out. One with a request in progress is kept.
 */
export class ConnectionSlots<Connection> {
  /** Connections without a whole request, in the order in which they began to wait. */
  private readonly waiting = new Set<Connection>();
  private readonly openRequests = new Map<Connection, number>();

  constructor(private readonly limits: ConnectionLimits) {}

  /** Number of connections. */
  get size(): number {
    return this.waiting.size + this.openRequests.size;
  }

  /**
   * Adds a new connection.
   *
   * @param connection - The connection.
   * @returns The connection to close, which may be the new one; null if there is room.
   */
  open(connection: Connection): Connection | null {
    const evicted = this.size < this.limits.maxConnections ? null : this.longestWaiting(connection);
    if (evicted !== connection) {
      this.waiting.add(connection);
    }
    if (evicted !== null) {
      this.close(evicted);
    }
    return evicted;
  }

  /**
   * Notes that a whole request has been received.
   *
   * @param connection - Connection of the request.
   * @returns Whether the request may be handled; if not, the connection has too many open ones.
   */
  beginRequest(connection: Connection): boolean {
    const open = this.openRequests.get(connection) ?? 0;
    if (open >= this.limits.maxOpenRequests) {
      return false;
    }
    this.waiting.delete(connection);
    this.openRequests.set(connection, open + 1);
    return true;
  }

  /**
   * Notes that a request has been answered.
   *
   * @param connection - Connection of the request; ignored if it is closed.
   */
  endRequest(connection: Connection): void {
    const open = this.openRequests.get(connection);
    if (open === undefined) {
      return;
    }
    if (open > 1) {
      this.openRequests.set(connection, open - 1);
      return;
    }
    this.openRequests.delete(connection);
    this.waiting.add(connection);
  }

  /** Whether a request of the connection waits for its answer. */
  isInUse(connection: Connection): boolean {
    return this.openRequests.has(connection);
  }

  /** Removes a connection that is closed. */
  close(connection: Connection): void {
    this.waiting.delete(connection);
    this.openRequests.delete(connection);
  }

  private longestWaiting(otherwise: Connection): Connection {
    const [first = otherwise] = this.waiting;
    return first;
  }
}
