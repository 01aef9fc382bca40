import { rowKey } from "@heatherferry/common";
import { type HostRow, ROW_PREFIX } from "@heatherferry/core";
import { describeEntryHost, liveEntryHosts, silentEntryHosts } from "../apply/rollOut.js";
import { done } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Finish } from "../operation/types.js";
import { RULES_HEAD_KEY, rulesInForce, type RulesInForce } from "../rulesChange/rulesInForce.js";
import { describeWave } from "../wave/describeWave.js";

const describeRules = ({ row, revision }: RulesInForce): string =>
  row === null
    ? "No rules are in force yet."
    : `revision ${revision} by ${row.body.appliedBy} at ` +
      new Date(row.body.appliedAtMs).toISOString();

const describeEntryHosts = (view: TableView, { revision }: RulesInForce): readonly string[] =>
  liveEntryHosts(view).map((member) => {
    const outdated = member.revisionInForce < revision ? " (behind)" : "";
    return `  ${describeEntryHost(member)}${outdated}`;
  });

const describeSilent = (view: TableView): readonly string[] => {
  const silent = silentEntryHosts(view);
  return silent.length === 0
    ? []
    : ["silent entry hosts:", ...silent.map((member) => `  ${describeEntryHost(member)}`)];
};

const describePool = (pool: string, hosts: readonly HostRow[]): string => {
  const counts = new Map<string, number>();
  for (const { phase } of hosts) {
    counts.set(phase, (counts.get(phase) ?? 0) + 1);
  }
  const phases = [...counts].sort(([a], [b]) => a.localeCompare(b));
  const absent = hosts.filter(({ phase }) => phase !== "inService").map(({ hostId }) => hostId);
  const names = absent.length === 0 ? "" : `: ${absent.join(" ")}`;
  return `  ${pool} ${phases.map(([phase, count]) => `${count} ${phase}`).join(", ")}${names}`;
};

const describeHosts = (view: TableView): readonly string[] => {
  const byPool = new Map<string, HostRow[]>();
  for (const { body } of view.ofType("host")) {
    byPool.set(body.pool, [...(byPool.get(body.pool) ?? []), body]);
  }
  const pools = [...byPool].sort(([a], [b]) => a.localeCompare(b));
  return pools.map(([pool, hosts]) => describePool(pool, hosts));
};

const section = (title: string, lines: readonly string[]): readonly string[] =>
  lines.length === 0 ? [`${title}: none`] : [`${title}:`, ...lines];

/** Prints the revision in force, the entry hosts, the pools and the waves. */
export class ShowStatus extends Operation {
  override readonly prefixes = [
    RULES_HEAD_KEY,
    rowKey(ROW_PREFIX.MEMBER),
    rowKey(ROW_PREFIX.HOST),
    rowKey(ROW_PREFIX.WAVE),
  ];

  override decide(view: TableView): Finish {
    const inForce = rulesInForce(view);
    const waves = view.ofType("wave").map(({ body }) => describeWave(body, view.tableTimeMs));
    const lines = [
      describeRules(inForce),
      ...section("live entry hosts", describeEntryHosts(view, inForce)),
      ...describeSilent(view),
      ...section("hosts by pool", describeHosts(view)),
      ...section(
        "waves",
        waves.map((wave) => `  ${wave}`),
      ),
    ];
    return done(lines.join("\n"));
  }
}
