import { OUTCOME, REFUSAL_KIND, type Refusal, type RefusalKind } from "@heatherferry/core";

/** HTTP status and message of a refusal. */
interface RefusalText {
  readonly statusCode: number;
  readonly message: string;
}

const refusalText = (statusCode: number, message: string): RefusalText => ({ statusCode, message });

const REFUSAL_TEXTS: Readonly<Record<RefusalKind, RefusalText>> = {
  [REFUSAL_KIND.NO_KEY]: refusalText(
    401,
    "This queue needs a key. Send it as 'authorization: Bearer <key>'.",
  ),
  [REFUSAL_KIND.UNKNOWN_KEY]: refusalText(
    403,
    "The key is not known or was withdrawn. Ask the operators for a new one.",
  ),
  [REFUSAL_KIND.KEYS_TOO_OLD]: refusalText(
    503,
    "Keys cannot be checked while the rules are out of reach. Send the request again later.",
  ),
  [REFUSAL_KIND.UNKNOWN_QUEUE]: refusalText(
    404,
    "There is no such queue. Check the name in the path, or ask the operators to add it.",
  ),
  [REFUSAL_KIND.NO_RULES]: refusalText(
    503,
    "This entry host has no rules yet. Send the request again later.",
  ),
  [REFUSAL_KIND.LEAVING]: refusalText(
    503,
    "This entry host is shutting down. Send the request again over a new connection.",
  ),
  [REFUSAL_KIND.QUEUE_FULL]: refusalText(
    429,
    "The queue of your team is full. Send the request again after the time in retry-after.",
  ),
  [REFUSAL_KIND.DEADLINE]: refusalText(
    504,
    "The request's time ran out. Allow more with heatherferry-timeout-ms, or send it later.",
  ),
  [REFUSAL_KIND.NO_TARGET]: refusalText(
    503,
    "No host of the pool is in service in this availability zone. Send the request to another.",
  ),
  [REFUSAL_KIND.TOO_LARGE]: refusalText(
    413,
    "The request body is too large. Send less in one request.",
  ),
  [REFUSAL_KIND.BODIES_FULL]: refusalText(
    503,
    "This entry host holds as many request bodies as it can. Send the request again later.",
  ),
  [REFUSAL_KIND.CLAIM_UNAVAILABLE]: refusalText(
    503,
    "The request id cannot be claimed now. Send it again later, or use a ticket.",
  ),
  [REFUSAL_KIND.TICKET_INVALID]: refusalText(
    400,
    "The ticket is not valid here or has expired. Ask for a new one with POST /tickets.",
  ),
  [REFUSAL_KIND.ISSUER_GONE]: refusalText(
    502,
    "The entry host that may run this work cannot be reached. Repeat under the same name later.",
  ),
  [REFUSAL_KIND.ANSWER_NOT_KEPT]: refusalText(
    409,
    "This work was sent before and its answer is not kept. Find out from the service how it ended.",
  ),
  [REFUSAL_KIND.TARGET_UNREACHABLE]: refusalText(
    503,
    "No target could be reached. Send the request again later.",
  ),
  [REFUSAL_KIND.TARGET_BROKE_OFF]: refusalText(
    502,
    "The target broke off. Find out from the service whether the request ran.",
  ),
  [REFUSAL_KIND.TARGET_SILENT]: refusalText(
    504,
    "The target went silent. Find out from the service whether the request ran.",
  ),
};

const NOT_RUN_SUFFIX = "The request has not run.";
const UNKNOWN_SUFFIX = "The request may have run.";

/** The HTTP answer that reports a refusal. */
export interface RefusalAnswer {
  readonly statusCode: number;
  /** Value of the outcome header. */
  readonly outcome: "not-run" | "unknown";
  readonly body: {
    readonly outcome: "not-run" | "unknown";
    readonly kind: RefusalKind;
    readonly message: string;
    readonly retryAfterMs: number | null;
  };
}

/** Returns the status, outcome header and body that report a refusal. */
export const refusalAnswer = (refusal: Refusal): RefusalAnswer => {
  const { statusCode, message } = REFUSAL_TEXTS[refusal.kind];
  const isNotRun = refusal.outcome === OUTCOME.NOT_RUN;
  const outcome = isNotRun ? "not-run" : "unknown";
  const body = {
    outcome,
    kind: refusal.kind,
    message: `${message} ${isNotRun ? NOT_RUN_SUFFIX : UNKNOWN_SUFFIX}`,
    retryAfterMs: refusal.retryAfterMs,
  } as const;
  return { statusCode, outcome, body };
};
