import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { Invariant } from "../invariants/invariant.js";
import { mirroredRow } from "../platform/mirror.js";
import type { State } from "../state.js";
import { DRAIN_REASON, HOST_PHASE } from "./constants.js";
import { isWithinBudget } from "./invariants.js";
import { holdsLease } from "./leases.js";
import type { PoolBudgetRow } from "./types.js";

/** A maintainer reboots only hosts that a wave has stopped, and only under the pool's lease. */
export class RebootOnlyWhenStopped extends Invariant {
  override readonly name = "rebootOnlyWhenStopped";

  override violation(_event: Event, effects: readonly Effect[], state: State): string | null {
    for (const effect of effects) {
      if (effect.type === "host/reboot" && !this.mayReboot(state, effect)) {
        return `${effect.hostId} is rebooted without a stop under a held lease`;
      }
    }
    return null;
  }

  private mayReboot(state: State, { hostId }: Extract<Effect, { type: "host/reboot" }>): boolean {
    const host = state.fleet.hosts.get(hostId);
    const stopped = host?.phase === HOST_PHASE.STOPPED && host.drainReason === DRAIN_REASON.WAVE;
    return stopped && holdsLease(state, host.pool);
  }
}

/** Permits that a maintainer writes are within the pool's budget by its own mirror of the rows. */
export class PermitsWithinBudget extends Invariant {
  override readonly name = "permitsWithinBudget";

  override violation(_event: Event, effects: readonly Effect[], state: State): string | null {
    for (const effect of effects) {
      const puts = effect.type === "table/write" ? effect.write.puts : [];
      for (const { key, body } of puts) {
        if (body.type === "poolBudget" && !this.isAllowed(state, key, body)) {
          return `a write takes ${body.pool} over its budget`;
        }
      }
    }
    return null;
  }

  private isAllowed(state: State, key: Parameters<typeof mirroredRow>[1], after: PoolBudgetRow) {
    const rule = state.revisions.rules.pools.get(after.pool);
    const before = mirroredRow(state, key, "poolBudget")?.body ?? null;
    return rule === undefined || isWithinBudget(before, after, rule);
  }
}

/** Returns the maintainer invariants whose cost does not grow with the size of the fleet. */
export const maintainerInvariants = (): Invariant[] => [
  new RebootOnlyWhenStopped(),
  new PermitsWithinBudget(),
];
