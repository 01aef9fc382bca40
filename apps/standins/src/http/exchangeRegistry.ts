import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ExchangeId } from "./types.js";

/** Open responses, by the exchange id that events and effects carry. */
export class ExchangeRegistry {
  private nextId = 1;
  private readonly responses = new Map<ExchangeId, ServerResponse>();

  /**
   * Registers a response until it closes.
   *
   * @returns The id of the exchange.
   */
  add(response: ServerResponse): ExchangeId {
    const exchangeId = this.nextId as ExchangeId;
    this.nextId += 1;
    this.responses.set(exchangeId, response);
    response.once("close", () => this.responses.delete(exchangeId));
    return exchangeId;
  }

  /** Returns the response of an exchange, or undefined after the response has closed. */
  find(exchangeId: ExchangeId): ServerResponse | undefined {
    return this.responses.get(exchangeId);
  }

  /** Returns the connection of an exchange, or undefined after the response has closed. */
  socketOf(exchangeId: ExchangeId): Socket | undefined {
    return this.responses.get(exchangeId)?.socket ?? undefined;
  }

  /** Destroys the connection of one exchange without an answer. */
  destroy(exchangeId: ExchangeId): void {
    this.socketOf(exchangeId)?.destroy();
  }

  /** Destroys the connections of all open exchanges without an answer. */
  destroyAll(): void {
    for (const response of [...this.responses.values()]) {
      response.socket?.destroy();
    }
  }
}
