import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import { Invariant } from "../invariants/invariant.js";
import type { TableRow } from "../platform/types.js";
import type { State } from "../state.js";
import { startableNow } from "./holdings.js";
import { escrowRowViolation } from "./invariants.js";

/** Work starts only under an unexpired grant whose count is not used up. */
export class StartsWithinGrant extends Invariant {
  override readonly name = "startsWithinGrant";

  override violation(_event: Event, effects: readonly Effect[], state: State): string | null {
    for (const effect of effects) {
      const team =
        effect.type === "attempt/dispatch"
          ? state.requests.attempts.get(effect.attemptId)?.team
          : undefined;
      if (team === undefined) {
        continue;
      }
      const running = state.limits.holdings.get(team)?.running ?? 0;
      if (running > startableNow(state, team)) {
        return `${running} of ${team} run, ${startableNow(state, team)} may be started`;
      }
    }
    return null;
  }
}

const rowsIn = (event: Event): readonly TableRow[] =>
  event.type === "table/readCompleted" || event.type === "table/writeConflicted" ? event.rows : [];

/** In rows of the table, the grants of a zone stay within its cap and all caps within the limit. */
export class EscrowRowsAddUp extends Invariant {
  override readonly name = "escrowRowsAddUp";

  override violation(event: Event): string | null {
    for (const row of rowsIn(event)) {
      const violation = escrowRowViolation(row);
      if (violation !== null) {
        return `${row.key}: ${violation.invariant}`;
      }
    }
    return null;
  }
}
