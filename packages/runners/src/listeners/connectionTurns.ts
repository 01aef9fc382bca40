import type { PacedConnection } from "./pacedConnection.js";

/** Turns that are taken before the event loop handles anything else. */
const MAX_TURNS_PER_ITERATION = 16;

/**
 * Lets connections that have more than one request to handle take turns, a few in each iteration of
 * the event loop. A server accepts only a few connections in each iteration, so that iterations in
 * which hundreds of connections are served would keep new clients waiting.
 */
export class ConnectionTurns {
  private readonly waiting = new Set<PacedConnection>();
  private scheduled: NodeJS.Immediate | null = null;

  /** Adds a connection, unless it waits already. */
  add(connection: PacedConnection): void {
    this.waiting.add(connection);
    this.schedule();
  }

  /** Removes a connection that is closed. */
  remove(connection: PacedConnection): void {
    this.waiting.delete(connection);
  }

  /** Whether a connection waits for its turn. */
  has(connection: PacedConnection): boolean {
    return this.waiting.has(connection);
  }

  private schedule(): void {
    this.scheduled ??= setImmediate(() => {
      this.run();
    });
  }

  private run(): void {
    this.scheduled = null;
    let turns = 0;
    for (const connection of this.waiting) {
      if (turns === MAX_TURNS_PER_ITERATION) {
        break;
      }
      turns += 1;
      this.waiting.delete(connection);
      connection.takeTurn();
    }
    if (this.waiting.size > 0) {
      this.schedule();
    }
  }
}
