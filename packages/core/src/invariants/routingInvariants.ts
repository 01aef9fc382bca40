import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { HOST_PHASE } from "../fleet/constants.js";
import type { State } from "../state.js";
import { Invariant } from "./invariant.js";

/** Only targets in service receive new work. */
export class LeavingTargetGetsNothingNew extends Invariant {
  override readonly name = "leavingTargetGetsNothingNew";

  override violation(_event: Event, effects: readonly Effect[], state: State): string | null {
    for (const effect of effects) {
      if (effect.type !== "attempt/dispatch") {
        continue;
      }
      const phase = state.fleet.hosts.get(effect.hostId)?.phase;
      if (phase !== HOST_PHASE.IN_SERVICE) {
        return `${effect.requestId} is sent to ${effect.hostId}, which is ${phase ?? "unknown"}`;
      }
    }
    return null;
  }
}

/** The running counts of targets and teams equal the number of their attempts in progress. */
export class SlotsAddUp extends Invariant {
  override readonly name = "slotsAddUp";

  override violation(_event: Event, _effects: readonly Effect[], state: State): string | null {
    const running = new Map<string, number>();
    for (const { hostId, team } of state.requests.attempts.values()) {
      running.set(`host ${hostId}`, (running.get(`host ${hostId}`) ?? 0) + 1);
      running.set(`team ${team}`, (running.get(`team ${team}`) ?? 0) + 1);
    }
    for (const target of state.routing.targets.values()) {
      if (target.running !== (running.get(`host ${target.hostId}`) ?? 0)) {
        return `${target.hostId} counts ${target.running} running`;
      }
    }
    for (const [team, holding] of state.limits.holdings) {
      if (holding.running !== (running.get(`team ${team}`) ?? 0)) {
        return `team ${team} counts ${holding.running} running`;
      }
    }
    return null;
  }
}

/** The rules in force never revert to an earlier revision. */
export class RevisionNeverReverts extends Invariant {
  override readonly name = "revisionNeverReverts";
  private highest = 0;

  override violation(_event: Event, _effects: readonly Effect[], state: State): string | null {
    const { revision } = state.revisions;
    if (revision < this.highest) {
      return `revision ${revision} is in force after ${this.highest}`;
    }
    this.highest = revision;
    return null;
  }
}
