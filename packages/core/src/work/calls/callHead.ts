import { ANSWER_KIND, CALL, CALL_KIND } from "../constants.js";
import type { CallAnswer, CallHead } from "../events.js";
import type { WorkloadState } from "../state.js";
import { areKeysCurrent, findQueue, teamByKey, type CatalogView } from "../store/catalog.js";
import type { Queue, Team } from "../types.js";

/** Why a call is refused whatever its body holds. */
export type HeadRefusal =
  | { readonly type: "unavailable"; readonly problem: string }
  | {
      readonly type: "refused";
      readonly answer: Omit<CallAnswer, "callId">;
      /** Further log fields. */
      readonly inputs: Record<string, string | null>;
    };

/** A call whose head allows it. */
export interface AcceptedHead {
  readonly type: "accepted";
  readonly queue: Queue;
  /** Team of the key; null for a queue that needs none. */
  readonly team: Team | null;
  readonly maxBodyBytes: number;
}

const refused = (
  answer: Omit<CallAnswer, "callId">,
  inputs: Record<string, string | null> = {},
): HeadRefusal => ({ type: "refused", answer, inputs });

const unavailable = (problem: string): HeadRefusal => ({ type: "unavailable", problem });

/** Returns the path of a call for a log line or an answer, cut to a bounded length. */
export const quotedPath = ({ path }: CallHead): string => path.slice(0, CALL.MAX_QUOTED_PATH_CHARS);

/**
 * Checks what a call's answer may depend on apart from its body: queue, size and key.
 *
 * @param view - The catalog, and the time at which it must be recent enough.
 * @param head - The call.
 * @param bodyBytes - Size of the body, as announced or as received so far.
 */
export const checkHead = (
  view: CatalogView,
  head: CallHead,
  bodyBytes: number,
): HeadRefusal | AcceptedHead => {
  const { catalog } = view.work;
  if (catalog === null) {
    return unavailable("no catalog yet");
  }
  const queue = findQueue(view.work, head.callerHost, head.path);
  if (queue === null) {
    return refused({ kind: ANSWER_KIND.NO_SUCH_QUEUE }, { path: quotedPath(head) });
  }
  const { maxBodyBytes } = catalog;
  if (bodyBytes > maxBodyBytes) {
    const problem = `the body is larger than ${maxBodyBytes} bytes`;
    return refused({ kind: ANSWER_KIND.TOO_LARGE, problem });
  }
  const team = teamByKey(view, head.key);
  if (!queue.openToAll && !areKeysCurrent(view)) {
    return unavailable("the view of the keys is too old");
  }
  if (!queue.openToAll && team === null) {
    const problem = head.key === null ? "no key" : "unknown key";
    return refused({ kind: ANSWER_KIND.NOT_AUTHORISED, problem }, { queue: queue.id });
  }
  return { type: "accepted", queue, team, maxBodyBytes };
};

/**
 * Returns how many bytes of a call's body are worth reading: none if the call's answer does not
 * depend on them.
 *
 * @param work - State of the node.
 * @param nowMs - Time of the last event.
 * @param head - The call.
 * @param announcedBytes - Size of the body; 0 if it is not announced.
 */
export const bodyBytesToRead = (
  work: WorkloadState,
  nowMs: number,
  head: CallHead,
  announcedBytes: number,
): number => {
  if (head.kind !== CALL_KIND.SUBMIT) {
    return 0;
  }
  const checked = checkHead({ work, nowMs }, head, announcedBytes);
  return checked.type === "accepted" ? checked.maxBodyBytes : 0;
};
