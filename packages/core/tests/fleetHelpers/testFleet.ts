import {
  address,
  availabilityZoneId,
  hostId,
  poolId,
  rackId,
  revision,
  type HostId,
  type PoolId,
} from "@heatherferry/common";
import { EMPTY_RULE_SET, parseRules, type PoolRule } from "@heatherferry/rules";
import {
  beginDrain,
  NODE_ROLE,
  permitRefusal,
  type Effect,
  type HostRow,
  type ListedHost,
  type PoolBudgetRow,
  type RowBody,
} from "../../src/index.js";
import { FakeTable } from "./fakeTable.js";
import { budgetViolations, rowViolations } from "./fleetChecks.js";
import { FleetNode, type UntimedEvent } from "./fleetNode.js";

const LATENCY_MS = 2;
const TIMEOUT_MS = 2_000;

interface ScheduledAction {
  readonly atMs: number;
  readonly run: () => void;
}

/** Reducers of several nodes with a fake table and host list, on one virtual clock. */
export class TestFleet {
  readonly table = new FakeTable();
  readonly nodes: FleetNode[] = [];
  /** The platform's host list; it changes only when the test changes it. */
  readonly hostList = new Map<HostId, ListedHost>();
  readonly reboots: HostId[] = [];
  /** Hosts that do not come back from a reboot. */
  readonly hostsFailingReboot = new Set<string>();
  readonly violations: string[] = [];
  rebootMs = 60_000;
  /** Raised by tests in which hours pass, to take fewer ticks. */
  tickMs = 100;
  nowMs = 1_000;
  private scheduled: ScheduledAction[] = [];
  private rules = EMPTY_RULE_SET;

  constructor(rules: string) {
    this.table.onCommit = (before, after) => {
      this.violations.push(...budgetViolations(before, after, this.rules));
    };
    this.applyRules(rules);
  }

  private revisionCount = 0;
  applyRules(text: string): void {
    this.rules = parseRules(text).rules;
    this.revisionCount += 1;
    const body = {
      type: "rulesHead",
      revision: revision(this.revisionCount),
      text,
      appliedBy: "operator",
      appliedAtMs: 0,
    } as const;
    this.table.put(this.nowMs, ["rules/head", body]);
  }

  addHosts(zone: string, rack: string, ...names: readonly string[]): void {
    for (const name of names) {
      this.hostList.set(hostId(name), {
        hostId: hostId(name),
        availabilityZone: availabilityZoneId(zone),
        rack: rackId(rack),
        address: address(`${name}:1`),
        slots: 2,
        state: "live",
      });
    }
  }

  setListedState(name: string, state: ListedHost["state"]): void {
    const host = this.hostList.get(hostId(name));
    if (host !== undefined) {
      this.hostList.set(host.hostId, { ...host, state });
    }
  }

  unlist(...names: readonly string[]): void {
    names.forEach((name) => this.hostList.delete(hostId(name)));
  }

  entry(name: string, zone = "a"): FleetNode {
    return this.addNode(new FleetNode(name, zone, NODE_ROLE.ENTRY, this.nowMs));
  }

  maintainer(name: string, zone = "a"): FleetNode {
    return this.addNode(new FleetNode(name, zone, NODE_ROLE.MAINTAINER, this.nowMs));
  }

  advance(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.nowMs < untilMs) {
      const tickAtMs = Math.min(untilMs, this.nowMs + this.tickMs);
      this.runScheduled(tickAtMs);
      this.nowMs = tickAtMs;
      for (const node of this.nodes) {
        this.handle(node, { type: "clock/ticked" });
      }
    }
  }

  /** Advances the clock until the condition holds or `maxMs` have passed. */
  advanceUntil(holds: () => boolean, maxMs = 3_600_000): boolean {
    const untilMs = this.nowMs + maxMs;
    while (!holds() && this.nowMs < untilMs) {
      this.advance(this.tickMs);
    }
    return holds();
  }

  kill(node: FleetNode): void {
    this.nodes.splice(this.nodes.indexOf(node), 1);
    node.killed = true;
  }

  resume(node: FleetNode): void {
    node.paused = false;
    node.queuedEvents.splice(0).forEach((event) => {
      this.handle(node, event);
    });
  }

  host(name: string, zone = "a"): HostRow {
    return this.table.body(`host/${zone}/${name}`, "host");
  }

  hasHostRow(name: string, zone = "a"): boolean {
    return [...this.table.rows.keys()].some((key) => key === `host/${zone}/${name}`);
  }

  budget(pool: string): PoolBudgetRow {
    const row = [...this.table.rows.values()].find(({ key }) => key === `budget/${pool}`);
    return row?.body.type === "poolBudget"
      ? row.body
      : { type: "poolBudget", pool: poolId(pool), permits: [], absent: [] };
  }

  /** Begins the drain of a host, as the command-line tool does for an operator. */
  drain(name: string, zone = "a"): void {
    const before = this.host(name, zone);
    const { host, budget } = beginDrain(before, this.budget(before.pool), "operator");
    this.table.put(this.nowMs, [`host/${zone}/${name}`, host], [`budget/${before.pool}`, budget]);
  }

  mayDrain(name: string, zone = "a"): boolean {
    const host = this.host(name, zone);
    const rule = this.rule(host.pool);
    const hosts = this.bodies("host").filter(({ pool }) => pool === host.pool);
    return permitRefusal({ rule, hosts, budget: this.budget(host.pool) }, host) === null;
  }

  private rule(pool: PoolId): PoolRule | undefined {
    return this.rules.pools.get(pool);
  }

  private addNode(node: FleetNode): FleetNode {
    this.nodes.push(node);
    return node;
  }

  handle(node: FleetNode, event: UntimedEvent): void {
    if (node.killed) {
      return;
    }
    if (node.paused) {
      if (event.type !== "clock/ticked") {
        node.queuedEvents.push(event);
      }
      return;
    }
    for (const effect of node.handle(event, this.nowMs)) {
      this.runEffect(node, effect);
    }
    this.violations.push(...node.violations.splice(0));
    const states = this.nodes.map(({ state }) => state);
    this.violations.push(...rowViolations([...this.table.rows.values()], states));
  }

  private schedule(delayMs: number, run: () => void): void {
    this.scheduled.push({ atMs: this.nowMs + delayMs, run });
    this.scheduled.sort((left, right) => left.atMs - right.atMs);
  }

  private runScheduled(untilMs: number): void {
    let next = this.scheduled[0];
    while (next !== undefined && next.atMs <= untilMs) {
      this.scheduled.shift();
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
      next = this.scheduled[0];
    }
  }

  private runEffect(node: FleetNode, effect: Effect): void {
    if (effect.type === "table/read") {
      this.read(node, effect);
    } else if (effect.type === "table/write") {
      this.write(node, effect);
    } else if (effect.type === "hosts/list") {
      const hosts = [...this.hostList.values()];
      this.schedule(LATENCY_MS, () => {
        this.handle(node, { type: "hosts/listed", hosts });
      });
    } else if (effect.type === "host/reboot") {
      this.reboot(node, effect.hostId);
    }
  }

  private read(node: FleetNode, { ranges }: Extract<Effect, { type: "table/read" }>): void {
    const sentAtMs = this.nowMs;
    if (node.disconnected || node.dropReads) {
      this.schedule(TIMEOUT_MS, () => {
        this.handle(node, { type: "table/readFailed", reason: "cut off" });
      });
      return;
    }
    this.schedule(LATENCY_MS, () => {
      const { rows, version } = this.table.read(ranges);
      const upToVersion = version;
      const tableTimeMs = this.nowMs;
      this.schedule(LATENCY_MS, () => {
        this.handle(node, {
          type: "table/readCompleted",
          sentAtMs,
          viewAgeMs: 0,
          ranges,
          rows,
          upToVersion,
          tableTimeMs,
        });
      });
    });
  }

  private write(node: FleetNode, { write }: Extract<Effect, { type: "table/write" }>): void {
    const { writeId } = write;
    const unanswered = (): void => {
      this.schedule(TIMEOUT_MS, () => {
        this.handle(node, { type: "table/writeUnanswered", writeId, reason: "cut off" });
      });
    };
    if (node.disconnected || node.dropWrites) {
      unanswered();
      return;
    }
    this.schedule(LATENCY_MS + node.writeDelayMs, () => {
      const result = this.table.write(write, this.nowMs);
      if (node.repliesToLose > 0) {
        node.repliesToLose -= 1;
        unanswered();
        return;
      }
      this.schedule(LATENCY_MS, () => {
        this.handle(
          node,
          typeof result === "number"
            ? { type: "table/writeCommitted", writeId, version: result }
            : { type: "table/writeConflicted", writeId, rows: result },
        );
      });
    });
  }

  private reboot(node: FleetNode, id: HostId): void {
    this.reboots.push(id);
    const hasWork = this.nodes.some((other) => other.hasWorkOn(id));
    if (hasWork) {
      this.violations.push(`${id} rebooted with work in flight`);
    }
    this.schedule(this.rebootMs, () => {
      this.handle(
        node,
        this.hostsFailingReboot.has(id)
          ? { type: "host/rebootFailed", hostId: id, reason: "did not come back" }
          : { type: "host/rebooted", hostId: id },
      );
    });
  }

  private bodies<Type extends RowBody["type"]>(type: Type): Extract<RowBody, { type: Type }>[] {
    return [...this.table.rows.values()].flatMap(({ body }) =>
      body.type === type ? [body as Extract<RowBody, { type: Type }>] : [],
    );
  }
}
