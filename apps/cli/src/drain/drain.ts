import type { HostId } from "@heatherferry/common";
import {
  unavailableHosts,
  beginDrain,
  DRAIN_REASON,
  HOST_PHASE,
  type HostRow,
  permitRefusal,
  type PoolBudgetRow,
  type PoolView,
  type TableRow,
} from "@heatherferry/core";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish, Write } from "../operation/types.js";
import { parsedRulesInForce, rulesInForce } from "../rulesChange/rulesInForce.js";
import {
  type Budget,
  findBudget,
  findHost,
  FLEET_PREFIXES,
  plannedDrainRows,
} from "./fleetView.js";
import { permitError } from "./permitError.js";

/** Adds hosts that are out of service but missing from the budget row, so that they count too. */
const withMissingAbsentHosts = (
  budget: PoolBudgetRow,
  hosts: readonly HostRow[],
): PoolBudgetRow => {
  const counted = unavailableHosts(budget);
  const uncounted = hosts.filter(
    ({ hostId, phase }) => phase !== HOST_PHASE.IN_SERVICE && !counted.has(hostId),
  );
  return { ...budget, absent: [...budget.absent, ...uncounted] };
};

const poolViewOf = (view: TableView, { pool }: HostRow, budget: Budget): PoolView => {
  const hosts = view
    .ofType("host")
    .map(({ body }) => body)
    .filter((host) => host.pool === pool);
  const rule = parsedRulesInForce(rulesInForce(view)).pools.get(pool);
  return { rule, hosts, budget: withMissingAbsentHosts(budget.body, hosts) };
};

const isDrainedByOperator = (host: HostRow): boolean =>
  host.phase !== HOST_PHASE.IN_SERVICE && host.drainReason === DRAIN_REASON.OPERATOR;

/** Takes a host out of service, within its pool's availability budget. */
export class Drain extends Operation {
  override readonly prefixes = FLEET_PREFIXES;

  /** @param hostId - Host to drain. */
  constructor(private readonly hostId: HostId) {
    super();
  }

  override decide(view: TableView): Finish | Write {
    const row = findHost(view, this.hostId);
    const host = row.body;
    if (isDrainedByOperator(host)) {
      return done(`Host ${host.hostId} is ${host.phase} already; nothing to change.`);
    }
    const budget = findBudget(view, host.pool);
    const pool = poolViewOf(view, host, budget);
    const refusal = permitRefusal(pool, host);
    if (refusal !== null) {
      throw permitError(refusal, pool, host);
    }
    return this.write(row, budget);
  }

  private write(row: TableRow<HostRow>, budget: Budget): Write {
    const { hostId, pool } = row.body;
    return {
      type: "write",
      rows: plannedDrainRows(row, budget, beginDrain(row.body, budget.body, DRAIN_REASON.OPERATOR)),
      committed: done(
        `Host ${hostId} of pool ${pool} is leaving: it gets no new work after a few seconds, ` +
          "and what runs there finishes. `heatherferry explain host` shows when it is empty.",
      ),
      conflicted: this,
      unknown:
        `It is unknown whether host ${hostId} is leaving. Run \`heatherferry explain host ` +
        `${hostId}\` once the platform's table answers, and repeat this command if it is not.`,
    };
  }
}
