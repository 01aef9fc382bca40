import type { HostId } from "@heatherferry/common";
import {
  DRAIN_REASON,
  endDrain,
  HOST_PHASE,
  type HostRow,
  type TableRow,
} from "@heatherferry/core";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish, Write } from "../operation/types.js";
import { DRAIN_ERROR_KIND, DrainError } from "./errors.js";
import { type Budget, findBudget, findHost, FLEET_PREFIXES } from "./fleetView.js";

/** Puts a host that an operator drained back in service, and frees its permit. */
export class Undrain extends Operation {
  override readonly prefixes = FLEET_PREFIXES;

  /** @param hostId - The host. */
  constructor(private readonly hostId: HostId) {
    super();
  }

  override decide(view: TableView): Finish | Write {
    const row = findHost(view, this.hostId);
    const host = row.body;
    if (host.phase === HOST_PHASE.IN_SERVICE) {
      return done(`Host ${host.hostId} is in service already; nothing to change.`);
    }
    if (host.drainReason !== DRAIN_REASON.OPERATOR) {
      throw new DrainError(
        DRAIN_ERROR_KIND.OTHER_OWNER,
        `Host ${host.hostId} is ${host.phase} for a ${host.drainReason ?? "reboot"}, ` +
          "not by an operator",
        "Wait until it is back, or pause the wave with `heatherferry wave pause`",
      );
    }
    return this.write(row, findBudget(view, host.pool));
  }

  private write(row: TableRow<HostRow>, budget: Budget): Write {
    const { hostId, pool } = row.body;
    const changed = endDrain(row.body, budget.body);
    return {
      type: "write",
      rows: [
        { key: row.key, previous: row, body: changed.host },
        { key: budget.key, previous: budget.previous, body: changed.budget },
      ],
      committed: done(`Host ${hostId} of pool ${pool} is in service.`),
      conflicted: this,
      unknown:
        `It is unknown whether host ${hostId} is back in service. Run \`heatherferry explain ` +
        `host ${hostId}\` once the platform's table answers, and repeat this command if not.`,
    };
  }
}
