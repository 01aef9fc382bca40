import { Readable } from "node:stream";
import { STORED_ANSWERS } from "./constants.js";
import { UnlimitedParts } from "../listeners/bodyBuffer.js";
import { readRequestBody } from "./requestBody.js";
import type { HeaderFields, IncomingAnswer } from "./types.js";

interface StoredAnswer {
  readonly statusCode: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** An answer to relay to the caller, and whether it has been stored. */
export interface RelayableAnswer {
  readonly answer: IncomingAnswer;
  readonly isStored: boolean;
  /** Keys of older answers that were evicted to stay within the size limit. */
  readonly evictedKeys: readonly string[];
}

const asAnswer = ({ statusCode, headers, body }: StoredAnswer): IncomingAnswer => ({
  statusCode,
  headers,
  body: Readable.from([body]),
});

/** Stores answers for duplicate requests within a total size limit. */
export class StoredAnswers {
  private readonly answers = new Map<string, StoredAnswer>();
  private bytes = 0;

  /**
   * Reads an answer and stores it if it is small enough.
   *
   * @param key - Key under which duplicate requests find it.
   * @param answer - The target's answer.
   * @returns The answer to relay. Rejects if it is interrupted before it is stored.
   */
  async store(key: string, answer: IncomingAnswer): Promise<RelayableAnswer> {
    const maxBytes = Number.POSITIVE_INFINITY;
    const body = await readRequestBody(
      answer.body,
      STORED_ANSWERS.MAX_ANSWER_BYTES,
      maxBytes,
      new UnlimitedParts(),
    );
    const { statusCode, headers } = answer;
    const content = body.open();
    if (content instanceof Readable) {
      return { answer: { statusCode, headers, body: content }, isStored: false, evictedKeys: [] };
    }
    const stored = { statusCode, headers, body: content ?? Buffer.alloc(0) };
    this.answers.set(key, stored);
    this.bytes += stored.body.length;
    return { answer: asAnswer(stored), isStored: true, evictedKeys: this.evictExcess() };
  }

  /**
   * Returns a stored answer, or null if it is no longer stored.
   *
   * @param key - Key of the answer.
   */
  get(key: string): IncomingAnswer | null {
    const stored = this.answers.get(key);
    return stored === undefined ? null : asAnswer(stored);
  }

  /** Removes an answer that no duplicate request can ask for any more. */
  remove(key: string): void {
    this.bytes -= this.answers.get(key)?.body.length ?? 0;
    this.answers.delete(key);
  }

  private evictExcess(): readonly string[] {
    const evicted: string[] = [];
    for (const key of this.answers.keys()) {
      if (this.bytes <= STORED_ANSWERS.MAX_TOTAL_BYTES) {
        break;
      }
      this.remove(key);
      evicted.push(key);
    }
    return evicted;
  }
}
