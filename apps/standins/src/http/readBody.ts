import type { IncomingMessage } from "node:http";
import { INTAKE } from "./constants.js";

/**
 * @param request - A request whose body was not read yet.
 * @returns The whole body.
 * @throws Error when the connection closes first or the body is too large.
 */
export const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let lengthBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    lengthBytes += chunk.length;
    if (lengthBytes > INTAKE.MAX_BODY_BYTES) {
      throw new Error(`Body above ${INTAKE.MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, lengthBytes);
};
