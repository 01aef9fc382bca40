import type { HostId, RackId } from "@heatherferry/common";
import { HOST_PHASE, type AbsentHost, type HostRow } from "@heatherferry/core";
import type { PoolRule } from "@heatherferry/rules";
import { DRAIN_ERROR_KIND, DrainError } from "./errors.js";

/** What a pool can spare rests on. */
export interface PoolAvailability {
  readonly rule: PoolRule;
  /** All hosts of the pool. */
  readonly hosts: readonly HostRow[];
  /** Absences, planned or not, those included whose host row does not show it. */
  readonly absences: readonly AbsentHost[];
}

const unavailableRacks = (
  { hosts, absences }: PoolAvailability,
  except: HostId,
): ReadonlyMap<HostId, RackId> => {
  const absent = hosts.filter(({ phase }) => phase !== HOST_PHASE.IN_SERVICE);
  const racks = new Map([...absent, ...absences].map(({ hostId, rack }) => [hostId, rack]));
  racks.delete(except);
  return racks;
};

/**
 * @param pool - The pool as it is.
 * @param host - The host that is to leave.
 * @throws DrainError when the pool's availability budget does not allow it.
 */
export const checkBudget = (pool: PoolAvailability, host: HostRow): void => {
  const { rule, hosts } = pool;
  const racks = unavailableRacks(pool, host.hostId);
  const inRack = [...racks.values()].filter((rack) => rack === host.rack).length;
  const asked = `line ${rule.line} of the rules, asked by ${rule.askedBy}`;
  if (!hosts.some(({ hostId }) => hostId !== host.hostId && !racks.has(hostId))) {
    throw new DrainError(
      DRAIN_ERROR_KIND.LAST_HOST,
      `Host ${host.hostId} is the last one in service in pool ${rule.pool}`,
      "Put another host of the pool back in service first, with `heatherferry undrain`",
    );
  }
  if (racks.size + 1 > rule.maxUnavailable) {
    throw new DrainError(
      DRAIN_ERROR_KIND.POOL_BUDGET,
      `Pool ${rule.pool} has ${racks.size} host(s) out of service and may have ` +
        `${rule.maxUnavailable} (${asked})`,
      `Wait until one is back: ${[...racks.keys()].join(", ")}`,
    );
  }
  if (inRack + 1 > rule.maxUnavailablePerRack) {
    throw new DrainError(
      DRAIN_ERROR_KIND.RACK_BUDGET,
      `Rack ${host.rack} has ${inRack} host(s) of pool ${rule.pool} out of service and may ` +
        `have ${rule.maxUnavailablePerRack} (${asked})`,
      "Wait until one is back, or drain a host of another rack",
    );
  }
};
