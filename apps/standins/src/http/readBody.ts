import type { IncomingMessage } from "node:http";
import { SERVER_LIMITS } from "./constants.js";

/**
 * Reads the whole body of a request.
 *
 * @throws Error when the connection closes before the end, or when the body is larger than
 *   `SERVER_LIMITS.MAX_BODY_BYTES`.
 */
export const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let lengthBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    lengthBytes += chunk.length;
    if (lengthBytes > SERVER_LIMITS.MAX_BODY_BYTES) {
      throw new Error(`Body above ${SERVER_LIMITS.MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, lengthBytes);
};
