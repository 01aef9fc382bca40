import { type HostId, rowKey } from "@heatherferry/common";
import {
  DRAIN_REASON,
  endDrain,
  type HostRow,
  ROW_PREFIX,
  type TableRow,
  UNDRAIN_REFUSAL,
  undrainRefusal,
  type WaveRow,
} from "@heatherferry/core";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish, Write } from "../operation/types.js";
import { DRAIN_ERROR_KIND, DrainError } from "./errors.js";
import {
  type Budget,
  findBudget,
  findHost,
  FLEET_PREFIXES,
  plannedDrainRows,
} from "./fleetView.js";

const waveOf = (view: TableView, { waveId }: HostRow): WaveRow | null =>
  view.ofType("wave").find(({ body }) => body.waveId === waveId)?.body ?? null;

const beingMaintainedError = (host: HostRow): DrainError =>
  new DrainError(
    DRAIN_ERROR_KIND.BEING_MAINTAINED,
    `Host ${host.hostId} is being rebooted for wave ${host.waveId ?? "unknown"}`,
    "Wait until it is back; `heatherferry wave` shows the progress",
  );

const takenByPlatformError = (host: HostRow): DrainError =>
  new DrainError(
    DRAIN_ERROR_KIND.TAKEN_BY_PLATFORM,
    `Host ${host.hostId} is ${host.phase} because the platform's list names it as leaving`,
    "It comes back by itself once the list reports it as live",
  );

/** Puts a drained host back in service, and releases its permit. */
export class Undrain extends Operation {
  override readonly prefixes = [...FLEET_PREFIXES, rowKey(ROW_PREFIX.WAVE)];

  /** @param hostId - Host to put back in service. */
  constructor(private readonly hostId: HostId) {
    super();
  }

  override decide(view: TableView): Finish | Write {
    const row = findHost(view, this.hostId);
    const host = row.body;
    const refusal = undrainRefusal(host, waveOf(view, host));
    if (refusal === UNDRAIN_REFUSAL.IN_SERVICE) {
      return done(`Host ${host.hostId} is in service already; nothing to change.`);
    }
    if (refusal === UNDRAIN_REFUSAL.BEING_MAINTAINED) {
      throw beingMaintainedError(host);
    }
    if (host.drainReason === DRAIN_REASON.PLATFORM) {
      throw takenByPlatformError(host);
    }
    return this.write(row, findBudget(view, host.pool));
  }

  private write(row: TableRow<HostRow>, budget: Budget): Write {
    const { hostId, pool } = row.body;
    return {
      type: "write",
      rows: plannedDrainRows(row, budget, endDrain(row.body, budget.body)),
      committed: done(`Host ${hostId} of pool ${pool} is in service.`),
      conflicted: this,
      unknown:
        `It is unknown whether host ${hostId} is back in service. Run \`heatherferry explain ` +
        `host ${hostId}\` once the platform's table answers, and repeat this command if not.`,
    };
  }
}
