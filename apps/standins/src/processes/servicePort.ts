import { createServer } from "node:net";

/** Ports that Linux does not give to outgoing connections by default. */
const PORTS = { FIRST: 15_000, COUNT: 15_000 } as const;

/** Distance of the first ports that two processes try. */
const PROCESS_STRIDE = 97;

let next = process.pid * PROCESS_STRIDE;

const isFree = async (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/**
 * Returns a port of 127.0.0.1 for a process that is restarted at the same address: while it is
 * down, no outgoing connection takes the port.
 */
export const servicePort = async (): Promise<number> => {
  for (;;) {
    next += 1;
    const port = PORTS.FIRST + (next % PORTS.COUNT);
    if (await isFree(port)) {
      return port;
    }
  }
};
