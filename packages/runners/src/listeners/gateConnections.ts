import type { Server, Socket } from "node:net";
import type { GatedConnection } from "./gatedConnection.js";

/**
 * Hands the connections of a server to its own handlers in another form.
 *
 * @param server - The server, before it listens.
 * @param gate - Returns the form of a new connection.
 */
export const gateConnections = (
  server: Server,
  gate: (socket: Socket) => GatedConnection,
): void => {
  const handlers = server.listeners("connection");
  server.removeAllListeners("connection");
  server.on("connection", (socket: Socket) => {
    const connection = gate(socket);
    handlers.forEach((handle) => {
      Reflect.apply(handle, server, [connection]);
    });
  });
};
