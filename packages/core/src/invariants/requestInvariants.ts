import type { AttemptId, RequestId } from "@heatherferry/common";
import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { ATTEMPT_STAGE, OUTCOME } from "../requests/constants.js";
import type { RequestArrived } from "../requests/types.js";
import type { State } from "../state.js";
import { Invariant } from "./invariant.js";
import { RecentMap } from "./recentMap.js";

/** A request stays known until at least this many later requests have been recorded. */
const RETAINED_REQUESTS = 25_000;

/** A request refused as "not run" has no attempt that may have reached a target. */
export class NotRunIsTrue extends Invariant {
  override readonly name = "notRunIsTrue";
  private readonly mayHaveRun = new RecentMap<RequestId, AttemptId>(RETAINED_REQUESTS);

  override violation(event: Event, effects: readonly Effect[]): string | null {
    this.recordAttempt(event);
    for (const effect of effects) {
      const isNotRun =
        effect.type === "caller/refuse" && effect.refusal.outcome === OUTCOME.NOT_RUN;
      if (isNotRun && this.mayHaveRun.has(effect.requestId)) {
        return `${effect.requestId} is refused as not run after a target may have run it`;
      }
    }
    return null;
  }

  private recordAttempt(event: Event): void {
    const reached =
      event.type === "attempt/answerBegan" ||
      (event.type === "attempt/failed" && event.stage !== ATTEMPT_STAGE.NOT_SENT);
    if (reached) {
      this.mayHaveRun.set(event.requestId, event.attemptId);
    }
  }
}

/** A non-idempotent request is sent to at most one target. */
export class NonIdempotentOnce extends Invariant {
  override readonly name = "nonIdempotentOnce";
  private readonly openAttempts = new RecentMap<RequestId, number>(RETAINED_REQUESTS);

  override violation(event: Event, effects: readonly Effect[]): string | null {
    if (event.type === "request/arrived" && !event.idempotent) {
      this.openAttempts.set(event.requestId, 0);
    }
    if (event.type === "attempt/failed" && event.stage === ATTEMPT_STAGE.NOT_SENT) {
      this.count(event.requestId, -1);
    }
    for (const effect of effects) {
      if (effect.type === "attempt/dispatch" && this.count(effect.requestId, 1) > 1) {
        return `${effect.requestId} is not idempotent and is sent to a second target`;
      }
    }
    return null;
  }

  private count(requestId: RequestId, change: number): number {
    const attempts = this.openAttempts.get(requestId);
    if (attempts === undefined) {
      return 0;
    }
    this.openAttempts.set(requestId, attempts + change);
    return attempts + change;
  }
}

/** Every request gets at most one outcome, and none after its caller has disconnected. */
export class OneOutcome extends Invariant {
  override readonly name = "oneOutcome";
  private readonly settled = new RecentMap<RequestId, true>(RETAINED_REQUESTS);

  override violation(event: Event, effects: readonly Effect[]): string | null {
    for (const effect of effects) {
      if (effect.type !== "caller/relay" && effect.type !== "caller/refuse") {
        continue;
      }
      if (this.settled.has(effect.requestId)) {
        return `${effect.requestId} gets a second outcome`;
      }
      this.settled.set(effect.requestId, true);
    }
    if (event.type === "request/cancelled") {
      this.settled.set(event.requestId, true);
    }
    return null;
  }
}

/**
 * Work is charged to the team of its API key. Work without a valid key is charged to the team of its
 * queue if the queue is open, and otherwise to no team.
 */
export class WorkOnlyForKeyTeam extends Invariant {
  override readonly name = "workOnlyForKeyTeam";

  override violation(event: Event, _effects: readonly Effect[], state: State): string | null {
    if (event.type !== "request/arrived") {
      return null;
    }
    const record = state.requests.records.get(event.requestId);
    if (record === undefined || record.team === this.expectedTeam(event, state)) {
      return null;
    }
    return `${event.requestId} is charged to ${record.team} without its key`;
  }

  private expectedTeam(event: RequestArrived, state: State): string | null {
    const { rules } = state.revisions;
    const holders = [...rules.keys.values()].filter((key) => key.hash === event.keyHash);
    return holders[0]?.team ?? rules.queues.get(event.queue)?.openTeam ?? null;
  }
}
