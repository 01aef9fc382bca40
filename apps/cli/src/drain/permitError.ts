import { assertNever } from "@heatherferry/common";
import {
  unavailableHosts,
  type HostRow,
  PERMIT_REFUSAL,
  type PermitRefusal,
  type PoolView,
} from "@heatherferry/core";
import { DRAIN_ERROR_KIND, DrainError } from "./errors.js";

const describeLimit = ({ rule }: PoolView, count: number | undefined): string =>
  `${count ?? 0} (line ${rule?.line ?? 0} of the rules, asked by ${rule?.askedBy ?? ""})`;

const unavailableIds = ({ budget }: PoolView): string => [...unavailableHosts(budget)].join(", ");

const poolBudgetError = (view: PoolView, { pool }: HostRow): DrainError =>
  new DrainError(
    DRAIN_ERROR_KIND.POOL_BUDGET_SPENT,
    `Pool ${pool} has ${unavailableHosts(view.budget).size} host(s) out of service, planned and ` +
      `unplanned, and may have ${describeLimit(view, view.rule?.maxUnavailable)}`,
    `Wait until one is back: ${unavailableIds(view)}`,
  );

const rackBudgetError = (view: PoolView, { pool, rack }: HostRow): DrainError =>
  new DrainError(
    DRAIN_ERROR_KIND.RACK_BUDGET_SPENT,
    `Rack ${rack} has as many hosts of pool ${pool} out of service as it may have: ` +
      describeLimit(view, view.rule?.maxUnavailablePerRack),
    `Wait until one is back, or drain a host of another rack; unavailable: ${unavailableIds(view)}`,
  );

/**
 * Creates the error for a refused drain, with the rule that limits it and the remedy.
 *
 * @param refusal - Why the host may not be drained.
 * @param view - The pool's rule, hosts and budget.
 * @param host - Host that was to be drained.
 */
export const permitError = (refusal: PermitRefusal, view: PoolView, host: HostRow): DrainError => {
  switch (refusal) {
    case PERMIT_REFUSAL.ALREADY_OUT:
      return new DrainError(
        refusal,
        `Host ${host.hostId} is ${host.phase} for a ${host.drainReason ?? "reboot"} ` +
          "and comes back by itself",
        "Drain it once it is in service again; `heatherferry explain host` shows when",
      );
    case PERMIT_REFUSAL.NO_POOL_RULE:
      return new DrainError(
        refusal,
        `Host ${host.hostId} is in pool ${host.pool}, which the rules do not have`,
        "Add a pool line that says how many of its hosts may be unavailable",
      );
    case PERMIT_REFUSAL.POOL_BUDGET_SPENT:
      return poolBudgetError(view, host);
    case PERMIT_REFUSAL.RACK_BUDGET_SPENT:
      return rackBudgetError(view, host);
    case PERMIT_REFUSAL.LAST_IN_ZONE:
      return new DrainError(
        refusal,
        `Host ${host.hostId} is the last one in service of pool ${host.pool} in zone ` +
          host.availabilityZone,
        "Put another host of the pool back in service there first",
      );
    default:
      return assertNever(refusal);
  }
};
