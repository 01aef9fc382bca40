import { PassThrough, Readable, type Readable as ReadableStream } from "node:stream";
import { BODY_ERROR_KIND, BodyError } from "./errors.js";
import { APPEND_RESULT, type BodyParts } from "../listeners/bodyBuffer.js";

/** The body of a caller's request: buffered whole, or a buffered first part and a stream. */
export class RequestBody {
  private consumed = false;

  /**
   * @param buffered - The bytes read so far.
   * @param rest - Stream of the remaining bytes; null if all are buffered.
   * @param maxBytes - Limit on the size of the whole body.
   */
  constructor(
    private readonly buffered: Buffer,
    private readonly rest: ReadableStream | null,
    private readonly maxBytes: number,
  ) {}

  /** Whether the body can be sent in another attempt. */
  get replayable(): boolean {
    return this.rest === null || !this.consumed;
  }

  /** Number of bytes that are buffered. */
  get bufferedBytes(): number {
    return this.buffered.length;
  }

  /**
   * Opens the body for one attempt.
   *
   * @returns The bytes or a stream of them; null if the body is empty.
   */
  open(): Buffer | Readable | null {
    if (this.rest === null) {
      return this.buffered.length === 0 ? null : this.buffered;
    }
    this.consumed = true;
    return this.joinRest(this.rest);
  }

  private joinRest(rest: ReadableStream): Readable {
    const joined = new PassThrough();
    let bytes = this.buffered.length;
    joined.write(this.buffered);
    rest.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > this.maxBytes) {
        joined.destroy(
          new Error("The request body exceeds the size limit. Send less in one request"),
        );
      } else if (!joined.write(chunk)) {
        rest.pause();
      }
    });
    joined.on("drain", () => rest.resume());
    rest.once("end", () => joined.end());
    rest.once("error", (error) => joined.destroy(error));
    rest.once("close", () => {
      if (!rest.readableEnded) {
        joined.destroy(new Error("The caller disconnected before the request body was complete"));
      }
    });
    rest.resume();
    return joined;
  }
}

/**
 * Buffers a body up to a limit, so that a slow caller does not occupy a slot of a target.
 *
 * @param source - Stream that the body is read from.
 * @param maxBufferedBytes - Number of bytes to buffer at most before the rest is streamed.
 * @param maxBytes - Limit on the size of the whole body.
 * @param parts - Collects what is buffered.
 * @returns The body, ready to send. Rejects if the stream closes before it is complete, or with a
 *   {@link BodyError} if there is no room for it.
 */
export const readRequestBody = async (
  source: ReadableStream,
  maxBufferedBytes: number,
  maxBytes: number,
  parts: BodyParts,
): Promise<RequestBody> =>
  new Promise((resolve, reject) => {
    let bytes = 0;
    const stopReading = (): void => {
      source.off("data", onData);
      source.off("end", onEnd);
      source.off("close", onClose);
    };
    const finish = (rest: ReadableStream | null): void => {
      stopReading();
      resolve(new RequestBody(parts.take(), rest, maxBytes));
    };
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (parts.append(chunk) !== APPEND_RESULT.KEPT) {
        stopReading();
        reject(new BodyError(BODY_ERROR_KIND.NO_ROOM));
      } else if (bytes > maxBufferedBytes) {
        source.pause();
        finish(source);
      }
    };
    const onEnd = (): void => {
      finish(null);
    };
    const onClose = (): void => {
      parts.drop();
      reject(new Error("The caller disconnected before the request body was complete"));
    };
    source.on("data", onData);
    source.once("end", onEnd);
    source.once("close", onClose);
  });
