import { type HostId, poolId } from "@heatherferry/common";
import { type AbsentHost, DRAIN_REASON, HOST_PHASE, type HostRow } from "@heatherferry/core";
import { formatRule } from "@heatherferry/rules";
import { findBudget, findHost, FLEET_PREFIXES } from "../drain/fleetView.js";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { parsedRulesInForce, rulesInForce } from "../rulesChange/rulesInForce.js";

const describeAbsence = (host: HostRow): string => {
  if (host.phase === HOST_PHASE.IN_SERVICE) {
    return "in service";
  }
  const reason =
    host.drainReason === DRAIN_REASON.WAVE
      ? `wave ${host.waveId ?? "unknown"}`
      : (host.drainReason ?? "unknown reason");
  const next = host.moveTo === null ? "" : `, then joins pool ${host.moveTo}`;
  const workState = host.phase === HOST_PHASE.STOPPED ? "nothing runs there" : "work may still run";
  return `${host.phase} (${reason}${next}): ${workState}`;
};

const namesOf = (absences: readonly AbsentHost[]): string =>
  absences.length === 0 ? "none" : absences.map(({ hostId }) => hostId).join(" ");

/** Prints a host's state, the unavailable hosts of its pool and the pool's rule. */
export class ExplainHost extends Operation {
  override readonly prefixes = FLEET_PREFIXES;

  /** @param hostId - Host to explain. */
  constructor(private readonly hostId: HostId) {
    super();
  }

  override decide(view: TableView): Finish {
    const { body: host } = findHost(view, this.hostId);
    const inForce = rulesInForce(view);
    const rule = parsedRulesInForce(inForce).pools.get(poolId(host.pool));
    const { permits, absent } = findBudget(view, host.pool).body;
    const lines = [
      `host ${host.hostId}, revision ${inForce.revision}`,
      `  zone ${host.availabilityZone}, rack ${host.rack}, address ${host.address}, ` +
        `${host.slots} slots`,
      `  pool ${host.pool}, ${describeAbsence(host)}, drain ${host.drainEpoch}`,
      `  out of the pool: by plan ${namesOf(permits)}; unplanned ${namesOf(absent)}`,
      rule === undefined
        ? "  the rules have no line for this pool"
        : `  line ${rule.line}: ${formatRule(rule)}\n  asked by: ${rule.askedBy}`,
    ];
    return done(lines.join("\n"));
  }
}
