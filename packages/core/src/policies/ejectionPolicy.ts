import type { Target } from "../routing/types.js";
import { ROUTING } from "../routing/constants.js";

/** Decides when a target that keeps failing gets no more work for a while. */
export abstract class EjectionPolicy {
  /**
   * @param target - The target that just failed.
   * @param pool - All targets of its pool.
   * @returns How long to leave it out, in ms; null to keep it.
   */
  abstract ejectForMs(target: Target, pool: readonly Target[]): number | null;
}

const isEjected = (target: Target): boolean => target.ejectedUntilMs !== null || target.probing;

/** Ejects after failures in a row, never more than a fraction of the pool at once. */
export class ConsecutiveFailureEjection extends EjectionPolicy {
  override ejectForMs(target: Target, pool: readonly Target[]): number | null {
    if (target.probing) {
      return ROUTING.EJECTION_MS;
    }
    if (target.consecutiveFailures < ROUTING.EJECT_AFTER_FAILURES) {
      return null;
    }
    const ejected = pool.filter(isEjected).length;
    const mayEject = Math.max(1, Math.floor(pool.length * ROUTING.MAX_EJECTED_FRACTION));
    return ejected < mayEject && pool.length > 1 ? ROUTING.EJECTION_MS : null;
  }
}
