import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Returns the announced size of a request's body; null for a body of unknown size.
 *
 * @param request - The request.
 */
export const announcedBytesOf = ({ headers }: IncomingMessage): number | null => {
  if (headers["transfer-encoding"] !== undefined) {
    return null;
  }
  const length = headers["content-length"];
  return length === undefined ? 0 : Number(length);
};

/**
 * Calls a function once a response is complete or its connection has ended.
 *
 * @param response - The response.
 * @param handle - The function.
 */
export const onceClosed = (response: ServerResponse, handle: () => void): void => {
  const { socket } = response.req;
  let isClosed = false;
  const close = (): void => {
    if (!isClosed) {
      isClosed = true;
      socket.off("close", close);
      handle();
    }
  };
  response.once("close", close);
  if (response.socket === null) {
    // Behind another response; it reports no close if the connection ends before its turn.
    socket.once("close", close);
  }
};
