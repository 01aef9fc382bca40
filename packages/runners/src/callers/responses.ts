import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import type { RelayResult } from "./callerServer.js";

/**
 * Returns the path of a request as its target sees it.
 *
 * @param url - Path that the caller used.
 * @param queue - Name of the queue at the start of that path.
 */
export const targetPath = (url: string, queue: string): string => {
  const subpath = url.slice(`/queues/${queue}`.length);
  return subpath.startsWith("/") ? subpath : `/${subpath}`;
};

/** Sends a JSON answer, unless an answer has begun or the caller has disconnected. */
export const sendJson = (
  response: ServerResponse,
  statusCode: number,
  headers: OutgoingHttpHeaders,
  body: unknown,
): void => {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(statusCode, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};

/**
 * Streams a body to the caller. Not `stream.pipeline`, which creates an abort signal and an error
 * for every answer.
 */
export const streamBody = async (body: Readable, response: ServerResponse): Promise<RelayResult> =>
  new Promise((resolve) => {
    body.once("error", () => {
      response.destroy();
      resolve("answerBrokeOff");
    });
    response.once("finish", () => {
      resolve("whole");
    });
    response.once("close", () => {
      if (!response.writableFinished) {
        body.destroy();
      }
      resolve("callerGone");
    });
    body.pipe(response);
  });
