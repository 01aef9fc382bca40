import { createServer } from "node:net";

/** Returns a port of 127.0.0.1 that is free now; another process may bind it before the caller. */
export const freePort = async (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const bound = server.address();
      server.close(() => {
        resolve(typeof bound === "object" && bound !== null ? bound.port : 0);
      });
    });
  });
