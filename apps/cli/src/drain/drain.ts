import { type HostId, poolId } from "@heatherferry/common";
import {
  beginDrain,
  DRAIN_REASON,
  HOST_PHASE,
  type HostRow,
  type TableRow,
} from "@heatherferry/core";
import type { PoolRule } from "@heatherferry/rules";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish, Write } from "../operation/types.js";
import { parsedRulesInForce, rulesInForce } from "../rulesChange/rulesInForce.js";
import { checkBudget } from "./checkBudget.js";
import { DRAIN_ERROR_KIND, DrainError } from "./errors.js";
import { type Budget, findBudget, findHost, FLEET_PREFIXES } from "./fleetView.js";

const poolRuleOf = (view: TableView, { pool, hostId }: HostRow): PoolRule => {
  const inForce = rulesInForce(view);
  const rule = parsedRulesInForce(inForce).pools.get(poolId(pool));
  if (rule === undefined) {
    throw new DrainError(
      DRAIN_ERROR_KIND.UNKNOWN_POOL,
      `Host ${hostId} is in pool ${pool}, which revision ${inForce.revision} does not have`,
      "Add a pool line that says how many of its hosts may be unavailable",
    );
  }
  return rule;
};

const alreadyLeaving = (host: HostRow): Finish => {
  if (host.drainReason === DRAIN_REASON.OPERATOR) {
    return done(`Host ${host.hostId} is ${host.phase} already; nothing to change.`);
  }
  throw new DrainError(
    DRAIN_ERROR_KIND.OTHER_OWNER,
    `Host ${host.hostId} is ${host.phase} for a ${host.drainReason ?? "reboot"} ` +
      "and comes back by itself",
    "Drain it once it is in service again; `heatherferry explain host` shows when",
  );
};

/** Takes a host out of service, within its pool's availability budget. */
export class Drain extends Operation {
  override readonly prefixes = FLEET_PREFIXES;

  /** @param hostId - The host. */
  constructor(private readonly hostId: HostId) {
    super();
  }

  override decide(view: TableView): Finish | Write {
    const row = findHost(view, this.hostId);
    const host = row.body;
    if (host.phase !== HOST_PHASE.IN_SERVICE) {
      return alreadyLeaving(host);
    }
    const budget = findBudget(view, host.pool);
    const hosts = view
      .ofType("host")
      .map(({ body }) => body)
      .filter(({ pool }) => pool === host.pool);
    const absences = [...budget.body.permits, ...budget.body.absent];
    checkBudget({ rule: poolRuleOf(view, host), hosts, absences }, host);
    return this.write(row, budget);
  }

  private write(row: TableRow<HostRow>, budget: Budget): Write {
    const { hostId, pool } = row.body;
    const changed = beginDrain(row.body, budget.body, DRAIN_REASON.OPERATOR);
    return {
      type: "write",
      rows: [
        { key: row.key, previous: row, body: changed.host },
        { key: budget.key, previous: budget.previous, body: changed.budget },
      ],
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
