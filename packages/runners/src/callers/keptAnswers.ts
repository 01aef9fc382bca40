import { Readable } from "node:stream";
import { KEPT_ANSWERS } from "./constants.js";
import { readRequestBody } from "./requestBody.js";
import type { HeaderFields, IncomingAnswer } from "./types.js";

interface KeptAnswer {
  readonly statusCode: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** An answer on its way to the caller, and whether it is kept. */
export interface TakenAnswer {
  readonly answer: IncomingAnswer;
  readonly isKept: boolean;
  /** Names of older answers that had to make room. */
  readonly droppedNames: readonly string[];
}

const asAnswer = ({ statusCode, headers, body }: KeptAnswer): IncomingAnswer => ({
  statusCode,
  headers,
  body: Readable.from([body]),
});

/** Answers kept for repeats, bounded by bytes. */
export class KeptAnswers {
  private readonly answers = new Map<string, KeptAnswer>();
  private bytes = 0;

  /**
   * Reads an answer, and keeps it when it is small enough.
   *
   * @param name - Name under which repeats ask for it.
   * @param answer - The target's answer.
   * @returns The answer to pass on; rejects when it broke off before it was kept.
   */
  async take(name: string, answer: IncomingAnswer): Promise<TakenAnswer> {
    const maxBytes = Number.POSITIVE_INFINITY;
    const body = await readRequestBody(answer.body, KEPT_ANSWERS.MAX_BYTES_EACH, maxBytes);
    const { statusCode, headers } = answer;
    const opened = body.open();
    if (opened instanceof Readable) {
      return { answer: { statusCode, headers, body: opened }, isKept: false, droppedNames: [] };
    }
    const kept = { statusCode, headers, body: opened ?? Buffer.alloc(0) };
    this.answers.set(name, kept);
    this.bytes += kept.body.length;
    return { answer: asAnswer(kept), isKept: true, droppedNames: this.dropExcess() };
  }

  /**
   * @param name - Name of an answer.
   * @returns The answer, or null when it is not kept any more.
   */
  open(name: string): IncomingAnswer | null {
    const kept = this.answers.get(name);
    return kept === undefined ? null : asAnswer(kept);
  }

  /** @param name - Name of an answer that no repeat may ask for any more. */
  forget(name: string): void {
    this.bytes -= this.answers.get(name)?.body.length ?? 0;
    this.answers.delete(name);
  }

  private dropExcess(): readonly string[] {
    const dropped: string[] = [];
    for (const name of this.answers.keys()) {
      if (this.bytes <= KEPT_ANSWERS.MAX_BYTES) {
        break;
      }
      this.forget(name);
      dropped.push(name);
    }
    return dropped;
  }
}
