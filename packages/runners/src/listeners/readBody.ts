import type { IncomingMessage } from "node:http";
import type { ValueOf } from "@heatherferry/common";
import { APPEND_RESULT, type BodyBuffer } from "./bodyBuffer.js";
import { CLIENT_LIMIT } from "./constants.js";

export const BODY_END = {
  WHOLE: "whole",
  TOO_LARGE: "tooLarge",
  NO_ROOM: "noRoom",
  TOO_SLOW: "tooSlow",
  /** The client has disconnected. */
  CUT: "cut",
} as const;

export type BodyEnd = ValueOf<typeof BODY_END>;

/** How the reading of a body ended. */
export interface ReceivedBody {
  readonly end: BodyEnd;
  /** Bytes that have come. */
  readonly bytes: number;
  /** The body if it is whole, else nothing. */
  readonly content: Buffer;
}

const END_BY_APPEND_RESULT = {
  [APPEND_RESULT.TOO_LARGE]: BODY_END.TOO_LARGE,
  [APPEND_RESULT.NO_ROOM]: BODY_END.NO_ROOM,
} as const;

/**
 * Reads a body as far as it stays within its limits. What follows is left to the caller to discard.
 *
 * @param request - The request.
 * @param buffer - Collects the body; it is empty afterwards.
 */
export const readBody = async (
  request: IncomingMessage,
  buffer: BodyBuffer,
): Promise<ReceivedBody> =>
  new Promise((resolve) => {
    let bytes = 0;
    let timer: NodeJS.Timeout | null = null;
    const finish = (end: BodyEnd): void => {
      clearTimeout(timer ?? undefined);
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      const content = buffer.take();
      resolve({ end, bytes, content });
    };
    const onData = (part: Buffer): void => {
      bytes += part.length;
      const result = buffer.append(part);
      if (result !== APPEND_RESULT.KEPT) {
        finish(END_BY_APPEND_RESULT[result]);
      } else if (timer === null && !request.complete) {
        timer = setTimeout(finish, CLIENT_LIMIT.BODY_TIMEOUT_MS, BODY_END.TOO_SLOW);
      }
    };
    const onEnd = (): void => {
      finish(BODY_END.WHOLE);
    };
    const onClose = (): void => {
      finish(BODY_END.CUT);
    };
    request.on("data", onData);
    request.once("end", onEnd);
    request.once("close", onClose);
  });
