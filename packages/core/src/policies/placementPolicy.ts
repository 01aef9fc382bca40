import type { HostId } from "@heatherferry/common";
import type { Target } from "../routing/types.js";

/** Chooses the target of a request among those that could take it. */
export abstract class PlacementPolicy {
  /**
   * @param targets - The targets of the pool.
   * @param tried - Targets that already failed this request: taken only when no other is free.
   * @returns The target to use, or null when none has a free slot.
   */
  abstract choose(targets: readonly Target[], tried: readonly HostId[]): Target | null;
}

/**
 * @param target - The target to judge.
 * @returns Whether one more request of this entry host may go there.
 */
export const hasRoom = (target: Target): boolean =>
  target.accepting && target.running < (target.probing ? 1 : target.allowance);

const loadOf = (target: Target): number => (target.running + 1) / Math.max(1, target.allowance);

/** Takes the target with the least part of its slots in use, the faster one on a tie. */
export class LeastLoadedPlacement extends PlacementPolicy {
  override choose(targets: readonly Target[], tried: readonly HostId[]): Target | null {
    return this.best(targets, tried) ?? (tried.length > 0 ? this.best(targets, []) : null);
  }

  private best(targets: readonly Target[], excluded: readonly HostId[]): Target | null {
    let chosen: Target | null = null;
    for (const target of targets) {
      if (!hasRoom(target) || excluded.includes(target.hostId)) {
        continue;
      }
      if (chosen === null || this.isBetter(target, chosen)) {
        chosen = target;
      }
    }
    return chosen;
  }

  private isBetter(target: Target, than: Target): boolean {
    const difference = loadOf(target) - loadOf(than);
    return difference < 0 || (difference === 0 && target.meanServiceMs < than.meanServiceMs);
  }
}
