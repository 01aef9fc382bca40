import { teamById } from "../store/catalog.js";
import { RESOURCES, reservedResources } from "../workers/workerResources.js";
import type { Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { Resources, StepSpec } from "../types.js";

/** What workers of one kind offer: their labels, and their capacity when nothing runs there. */
interface WorkerKind {
  readonly labels: readonly string[];
  readonly capacity: Resources;
}

const canHold = ({ labels, capacity }: WorkerKind, spec: StepSpec): boolean => {
  const needs = reservedResources(spec);
  return (
    (spec.requiredLabel === null || labels.includes(spec.requiredLabel)) &&
    RESOURCES.every((resource) => needs[resource] <= capacity[resource])
  );
};

/** The kinds of workers and hosts that this owner has met, in any pool. */
export class FleetKinds {
  private readonly kinds = new Map<string, WorkerKind>();
  /** Whether the platform has listed hosts without telling their kinds. */
  hasUnknownHosts = false;

  /**
   * Adds a kind.
   *
   * @returns Whether it is new, so that work which fitted nowhere may fit now.
   */
  add(labels: readonly string[], capacity: Resources): boolean {
    const key = JSON.stringify([labels, RESOURCES.map((resource) => capacity[resource])]);
    if (this.kinds.has(key)) {
      return false;
    }
    this.kinds.set(key, { labels, capacity });
    return true;
  }

  /** Whether all kinds are known: hosts of a standby pool run no workers, only the list has them. */
  private isComplete({ work }: Turn): boolean {
    const hostsListed = (work.owned?.hostListReceivedAtMs ?? null) !== null;
    const hasStandby = work.catalog?.pools.some(({ standby }) => standby) === true;
    return this.kinds.size > 0 && !this.hasUnknownHosts && (hostsListed || !hasStandby);
  }

  /**
   * Returns why an item of a step can't run on any worker or host, however much is free; null if it
   * can, or if not all kinds are known.
   */
  obstacleTo(turn: Turn, { row }: Submission, spec: StepSpec): string | null {
    if (exceedsCeiling(turn, row.team, spec)) {
      return "an item needs more than its team may use; raise the ceiling or hand in smaller items";
    }
    if (!this.isComplete(turn)) {
      return null;
    }
    for (const kind of this.kinds.values()) {
      if (canHold(kind, spec)) {
        return null;
      }
    }
    return spec.requiredLabel === null
      ? "no worker is large enough for an item; hand in smaller items"
      : `no worker with the label ${spec.requiredLabel} is large enough for an item; hand it in with another label or smaller items`;
  }
}

/** Whether an item needs more than its team may use at all. */
const exceedsCeiling = (
  turn: Turn,
  team: Submission["row"]["team"],
  { needs }: StepSpec,
): boolean => {
  const ceiling = teamById(turn.work, team)?.ceiling;
  return (
    ceiling !== undefined &&
    RESOURCES.some((resource) => ceiling[resource] > 0 && needs[resource] > ceiling[resource])
  );
};
