import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ExchangeId } from "./types.js";

/** Responses that are still open, by the id that events and effects name. */
export class ExchangeRegistry {
  private nextId = 1;
  private readonly responses = new Map<ExchangeId, ServerResponse>();

  /**
   * @param response - A response that will be answered later.
   * @returns The id under which it is kept until its connection closes.
   */
  add(response: ServerResponse): ExchangeId {
    const exchangeId = this.nextId as ExchangeId;
    this.nextId += 1;
    this.responses.set(exchangeId, response);
    response.once("close", () => this.responses.delete(exchangeId));
    return exchangeId;
  }

  /**
   * @param exchangeId - The exchange.
   * @returns Its response, or undefined once the connection closed.
   */
  find(exchangeId: ExchangeId): ServerResponse | undefined {
    return this.responses.get(exchangeId);
  }

  /**
   * @param exchangeId - The exchange.
   * @returns Its connection, or undefined once it closed.
   */
  socketOf(exchangeId: ExchangeId): Socket | undefined {
    return this.responses.get(exchangeId)?.socket ?? undefined;
  }

  /** Cuts the connection of one exchange, without an answer. */
  destroy(exchangeId: ExchangeId): void {
    this.socketOf(exchangeId)?.destroy();
  }

  /** Cuts the connections of all open exchanges, without an answer. */
  destroyAll(): void {
    for (const response of [...this.responses.values()]) {
      response.socket?.destroy();
    }
  }
}
