import type { HostId } from "@heatherferry/common";
import type { Target } from "../routing/types.js";

/** Chooses the target of a request among the targets of its pool. */
export abstract class PlacementPolicy {
  /**
   * Chooses a target with a free slot.
   *
   * @param targets - The targets of the pool.
   * @param tried - Hosts whose targets have failed this request; used only when no other is free.
   * @returns The target to use, or null when none has a free slot.
   */
  abstract choose(targets: readonly Target[], tried: readonly HostId[]): Target | null;
}

/**
 * Whether this entry host may send one more request to a target.
 *
 * @param target - The target to check.
 */
export const hasFreeSlot = (target: Target): boolean =>
  target.accepting && target.running < (target.probing ? 1 : target.allowance);

const loadOf = (target: Target): number => (target.running + 1) / Math.max(1, target.allowance);

/** Chooses the target with the lowest fraction of its slots in use, on a tie the faster one. */
export class LeastLoadedPlacement extends PlacementPolicy {
  override choose(targets: readonly Target[], tried: readonly HostId[]): Target | null {
    return this.best(targets, tried) ?? (tried.length > 0 ? this.best(targets, []) : null);
  }

  private best(targets: readonly Target[], excluded: readonly HostId[]): Target | null {
    let chosen: Target | null = null;
    for (const target of targets) {
      if (!hasFreeSlot(target) || excluded.includes(target.hostId)) {
        continue;
      }
      if (chosen === null || this.isBetter(target, chosen)) {
        chosen = target;
      }
    }
    return chosen;
  }

  private isBetter(target: Target, than: Target): boolean {
    const loadDifference = loadOf(target) - loadOf(than);
    return (
      loadDifference < 0 || (loadDifference === 0 && target.meanServiceMs < than.meanServiceMs)
    );
  }
}
