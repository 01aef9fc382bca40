import { CALLER_HEADER } from "@heatherferry/runners";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { answerBody } from "../target/answerBody.js";
import { WORK_HEADER } from "../target/constants.js";
import { ANSWER_FAULT, CALLER_OUTCOME } from "./constants.js";
import type { AnswerFault, LoadRequest, CallerOutcome, CallerResult } from "./types.js";

const REFUSAL = z.object({ kind: z.string() });

/** Outcomes by the value of the outcome header. */
const OUTCOME_OF_HEADER: Readonly<Record<string, CallerOutcome>> = {
  answered: CALLER_OUTCOME.ANSWERED,
  "not-run": CALLER_OUTCOME.NOT_RUN,
  unknown: CALLER_OUTCOME.UNKNOWN,
};

const faultOf = (request: LoadRequest, tag: unknown, body: string): AnswerFault | null => {
  if (tag !== request.tag) {
    return ANSWER_FAULT.CROSSED;
  }
  const isWhole = body === answerBody(request.tag, request.stream.answerBytes);
  return isWhole ? null : ANSWER_FAULT.NOT_WHOLE;
};

const refusalKindOf = (body: string): string => {
  try {
    return REFUSAL.parse(JSON.parse(body)).kind;
  } catch {
    return "unreadable";
  }
};

/**
 * Returns the result of a request whose outcome the caller cannot tell.
 *
 * @param reason - What went wrong, for the counts of refusals.
 */
export const brokenResult = (reason: string): CallerResult => ({
  outcome: CALLER_OUTCOME.BROKEN,
  fault: null,
  refusalKind: reason,
});

/**
 * Reads an answer to its end and checks that it is whole and belongs to the request.
 *
 * @param request - The request that was sent.
 * @param response - The response to it.
 * @returns The outcome, the fault of the answer if any, and the kind of a refusal.
 * @throws Error when the connection closes before the end of the answer.
 */
export const readResult = async (
  request: LoadRequest,
  response: Dispatcher.ResponseData,
): Promise<CallerResult> => {
  const outcome = OUTCOME_OF_HEADER[String(response.headers[CALLER_HEADER.OUTCOME])];
  const body = await response.body.text();
  if (outcome === undefined) {
    return brokenResult("noOutcome");
  }
  if (outcome !== CALLER_OUTCOME.ANSWERED) {
    return { outcome, fault: null, refusalKind: refusalKindOf(body) };
  }
  const fault = faultOf(request, response.headers[WORK_HEADER.TAG], body);
  return { outcome, fault, refusalKind: null };
};
