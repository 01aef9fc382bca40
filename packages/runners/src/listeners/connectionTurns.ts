import type { GatedConnection } from "./gatedConnection.js";

/** Turns that are taken before the event loop handles anything else. */
const TURNS_PER_ITERATION = 8;

/**
 * Lets connections that have more than one request to handle take turns, a few in each iteration of
 * the event loop. A server accepts only a few connections in each iteration, so that iterations in
 * which hundreds of connections are served would keep new clients waiting.
 */
export class ConnectionTurns {
  private readonly waiting = new Set<GatedConnection>();
  private scheduled: NodeJS.Immediate | null = null;

  /** Adds a connection, unless it waits already. */
  add(connection: GatedConnection): void {
    this.waiting.add(connection);
    this.schedule();
  }

  /** Removes a connection that is closed. */
  remove(connection: GatedConnection): void {
    this.waiting.delete(connection);
  }

  /** Whether a connection waits for its turn. */
  has(connection: GatedConnection): boolean {
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
      if (turns === TURNS_PER_ITERATION) {
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
