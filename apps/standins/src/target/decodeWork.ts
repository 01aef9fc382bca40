import type { IncomingHttpHeaders } from "node:http";
import { TARGET, WORK_HEADER } from "./constants.js";
import type { RequestedWork } from "./types.js";

const integerOr = (value: string | string[] | undefined, fallback: number): number => {
  const number = Number.parseInt(String(value), 10);
  return Number.isNaN(number) || number < 0 ? fallback : number;
};

/** Decodes the work that the headers of a request ask for; missing headers get defaults. */
export const decodeWork = (headers: IncomingHttpHeaders): RequestedWork => ({
  tag: String(headers[WORK_HEADER.TAG] ?? "untagged"),
  workMs: integerOr(headers[WORK_HEADER.WORK_MS], TARGET.DEFAULT_WORK_MS),
  workJitterMs: integerOr(headers[WORK_HEADER.WORK_JITTER_MS], 0),
  answerBytes: Math.min(
    integerOr(headers[WORK_HEADER.ANSWER_BYTES], TARGET.DEFAULT_ANSWER_BYTES),
    TARGET.MAX_ANSWER_BYTES,
  ),
});
