import { PassThrough, Readable, type Readable as ReadableStream } from "node:stream";

/** The body of a caller's request: wholly kept, or a kept first part and the rest to come. */
export class RequestBody {
  private consumed = false;

  /**
   * @param kept - The bytes read so far.
   * @param rest - Where the others come from; null when all are kept.
   * @param maxBytes - Bound on the whole body.
   */
  constructor(
    private readonly kept: readonly Buffer[],
    private readonly rest: ReadableStream | null,
    private readonly maxBytes: number,
  ) {}

  /** Whether the body can be sent once more. */
  get replayable(): boolean {
    return this.rest === null || !this.consumed;
  }

  /**
   * Opens the body for one attempt.
   *
   * @returns The bytes, or null when there are none.
   */
  open(): Buffer | Readable | null {
    if (this.rest === null) {
      return this.kept.length === 0 ? null : Buffer.concat(this.kept);
    }
    this.consumed = true;
    return this.joinRest(this.rest);
  }

  private joinRest(rest: ReadableStream): Readable {
    const joined = new PassThrough();
    let bytes = 0;
    for (const chunk of this.kept) {
      bytes += chunk.length;
      joined.write(chunk);
    }
    rest.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > this.maxBytes) {
        joined.destroy(new Error("The request body is larger than the bound"));
      } else if (!joined.write(chunk)) {
        rest.pause();
      }
    });
    joined.on("drain", () => rest.resume());
    rest.once("end", () => joined.end());
    rest.once("error", (error) => joined.destroy(error));
    rest.once("close", () => {
      if (!rest.readableEnded) {
        joined.destroy(new Error("The caller broke off the request body"));
      }
    });
    rest.resume();
    return joined;
  }
}

/**
 * Reads a body up to a bound, so that a slow caller holds no slot of a target.
 *
 * @param source - The caller's stream.
 * @param keepBytes - Bytes that may be kept.
 * @param maxBytes - Bound on the whole body.
 * @returns The body, ready to be sent; rejects when the caller broke off.
 */
export const readRequestBody = async (
  source: ReadableStream,
  keepBytes: number,
  maxBytes: number,
): Promise<RequestBody> =>
  new Promise((resolve, reject) => {
    const kept: Buffer[] = [];
    let bytes = 0;
    const finish = (rest: ReadableStream | null): void => {
      source.off("data", onData);
      source.off("end", onEnd);
      source.off("close", onClose);
      resolve(new RequestBody(kept, rest, maxBytes));
    };
    const onData = (chunk: Buffer): void => {
      kept.push(chunk);
      bytes += chunk.length;
      if (bytes > keepBytes) {
        source.pause();
        finish(source);
      }
    };
    const onEnd = (): void => {
      finish(null);
    };
    const onClose = (): void => {
      reject(new Error("The caller broke off the request body"));
    };
    source.on("data", onData);
    source.once("end", onEnd);
    source.once("close", onClose);
  });
