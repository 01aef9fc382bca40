import type { Target } from "../routing/types.js";
import { ROUTING } from "../routing/constants.js";

/** Decides when a target that fails repeatedly is ejected, that is, gets no work for some time. */
export abstract class EjectionPolicy {
  /**
   * Decides whether a failure ejects a target.
   *
   * @param target - The target that has just failed.
   * @param pool - All targets of its pool.
   * @returns The duration of the ejection in ms, or null to keep the target.
   */
  abstract ejectForMs(target: Target, pool: readonly Target[]): number | null;
}

const isEjected = (target: Target): boolean => target.ejectedUntilMs !== null || target.probing;

/** Ejects a target after consecutive failures, but at most a fraction of the pool at a time. */
export class ConsecutiveFailureEjection extends EjectionPolicy {
  override ejectForMs(target: Target, pool: readonly Target[]): number | null {
    if (target.probing) {
      return ROUTING.EJECTION_MS;
    }
    if (target.consecutiveFailures < ROUTING.EJECT_AFTER_FAILURES) {
      return null;
    }
    const ejected = pool.filter(isEjected).length;
    const maxEjected = Math.max(1, Math.floor(pool.length * ROUTING.MAX_EJECTED_FRACTION));
    return ejected < maxEjected && pool.length > 1 ? ROUTING.EJECTION_MS : null;
  }
}
