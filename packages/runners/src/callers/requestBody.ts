import { PassThrough, Readable, type Readable as ReadableStream } from "node:stream";

/** The body of a caller's request: buffered whole, or a buffered first part and a stream. */
export class RequestBody {
  private consumed = false;

  /**
   * @param buffered - The bytes read so far.
   * @param rest - Stream of the remaining bytes; null if all are buffered.
   * @param maxBytes - Limit on the size of the whole body.
   */
  constructor(
    private readonly buffered: readonly Buffer[],
    private readonly rest: ReadableStream | null,
    private readonly maxBytes: number,
  ) {}

  /** Whether the body can be sent in another attempt. */
  get replayable(): boolean {
    return this.rest === null || !this.consumed;
  }

  /**
   * Opens the body for one attempt.
   *
   * @returns The bytes or a stream of them; null if the body is empty.
   */
  open(): Buffer | Readable | null {
    if (this.rest === null) {
      return this.buffered.length === 0 ? null : Buffer.concat(this.buffered);
    }
    this.consumed = true;
    return this.joinRest(this.rest);
  }

  private joinRest(rest: ReadableStream): Readable {
    const joined = new PassThrough();
    let bytes = 0;
    for (const chunk of this.buffered) {
      bytes += chunk.length;
      joined.write(chunk);
    }
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
 * @returns The body, ready to send. Rejects if the stream closes before it is complete.
 */
export const readRequestBody = async (
  source: ReadableStream,
  maxBufferedBytes: number,
  maxBytes: number,
): Promise<RequestBody> =>
  new Promise((resolve, reject) => {
    const buffered: Buffer[] = [];
    let bytes = 0;
    const finish = (rest: ReadableStream | null): void => {
      source.off("data", onData);
      source.off("end", onEnd);
      source.off("close", onClose);
      resolve(new RequestBody(buffered, rest, maxBytes));
    };
    const onData = (chunk: Buffer): void => {
      buffered.push(chunk);
      bytes += chunk.length;
      if (bytes > maxBufferedBytes) {
        source.pause();
        finish(source);
      }
    };
    const onEnd = (): void => {
      finish(null);
    };
    const onClose = (): void => {
      reject(new Error("The caller disconnected before the request body was complete"));
    };
    source.on("data", onData);
    source.once("end", onEnd);
    source.once("close", onClose);
  });
