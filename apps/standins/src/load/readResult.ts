import { CALLER_HEADER } from "@heatherferry/runners";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { answerBody } from "../target/answerBody.js";
import { WORK_HEADER } from "../target/constants.js";
import { ANSWER_FAULT, SEEN_OUTCOME } from "./constants.js";
import type { AnswerFault, LoadRequest, SeenOutcome, SeenResult } from "./types.js";

const REFUSAL = z.object({ kind: z.string() });

/** Values of the outcome header. */
const OUTCOME_OF_HEADER: Readonly<Record<string, SeenOutcome>> = {
  answered: SEEN_OUTCOME.ANSWERED,
  "not-run": SEEN_OUTCOME.NOT_RUN,
  unknown: SEEN_OUTCOME.UNKNOWN,
};

const faultOf = (request: LoadRequest, tag: unknown, body: string): AnswerFault | null => {
  if (tag !== request.tag) {
    return ANSWER_FAULT.CROSSED;
  }
  const whole = body === answerBody(request.tag, request.stream.answerBytes);
  return whole ? null : ANSWER_FAULT.NOT_WHOLE;
};

const kindOf = (body: string): string => {
  try {
    return REFUSAL.parse(JSON.parse(body)).kind;
  } catch {
    return "unreadable";
  }
};

/** A request without an outcome that its caller can rely on. */
export const broken = (reason: string): SeenResult => ({
  outcome: SEEN_OUTCOME.BROKEN,
  fault: null,
  refusalKind: reason,
});

/**
 * Reads an answer to its end and checks that it is whole and the request's own.
 *
 * @param request - The request.
 * @param response - Its answer.
 * @returns What its caller learns.
 */
export const readResult = async (
  request: LoadRequest,
  response: Dispatcher.ResponseData,
): Promise<SeenResult> => {
  const outcome = OUTCOME_OF_HEADER[String(response.headers[CALLER_HEADER.OUTCOME])];
  const body = await response.body.text();
  if (outcome === undefined) {
    return broken("noOutcome");
  }
  if (outcome !== SEEN_OUTCOME.ANSWERED) {
    return { outcome, fault: null, refusalKind: kindOf(body) };
  }
  const fault = faultOf(request, response.headers[WORK_HEADER.TAG], body);
  return { outcome, fault, refusalKind: null };
};
