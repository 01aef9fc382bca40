import {
  address,
  availabilityZoneId,
  hostId,
  poolId,
  rackId,
  revision,
  type HostId,
} from "@heatherferry/common";
import {
  beginDrain,
  budgetHolds,
  hostInOnePool,
  noWorkCutOff,
  NODE_ROLE,
  type Effect,
  type HostRow,
  type ListedHost,
  type PoolBudgetRow,
  type RowBody,
  type TableRow,
} from "../../src/index.js";
import { FakeTable } from "./fakeTable.js";
import { FleetNode, type Untimed } from "./fleetNode.js";

const LATENCY_MS = 2;
const TIMEOUT_MS = 2_000;

interface Due {
  readonly atMs: number;
  readonly act: () => void;
}

/** Real reducers of several nodes, a table and a list of hosts, under one virtual clock. */
export class TestFleet {
  readonly table = new FakeTable();
  readonly nodes: FleetNode[] = [];
  /** What the platform's list says; the test lets it lag. */
  readonly listed = new Map<HostId, ListedHost>();
  readonly reboots: HostId[] = [];
  readonly broken = new Set<string>();
  readonly violations: string[] = [];
  rebootMs = 60_000;
  /** Coarser where a test lets hours pass. */
  tickMs = 100;
  nowMs = 1_000;
  private due: Due[] = [];

  constructor(rules: string) {
    this.table.onCommit = (before, after) => {
      this.checkBudgets(before, after);
    };
    this.applyRules(rules);
  }

  private revisionCount = 0;

  applyRules(text: string): void {
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
      this.listed.set(hostId(name), {
        hostId: hostId(name),
        availabilityZone: availabilityZoneId(zone),
        rack: rackId(rack),
        address: address(`${name}:1`),
        slots: 2,
        state: "live",
      });
    }
  }

  setListed(name: string, state: ListedHost["state"]): void {
    const host = this.listed.get(hostId(name));
    if (host !== undefined) {
      this.listed.set(host.hostId, { ...host, state });
    }
  }

  unlist(...names: readonly string[]): void {
    names.forEach((name) => this.listed.delete(hostId(name)));
  }

  entry(name: string, zone = "a"): FleetNode {
    return this.join(new FleetNode(name, zone, NODE_ROLE.ENTRY, this.nowMs));
  }

  maintainer(name: string, zone = "a"): FleetNode {
    return this.join(new FleetNode(name, zone, NODE_ROLE.MAINTAINER, this.nowMs));
  }

  /** Lets time pass, tick by tick. */
  advance(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.nowMs < untilMs) {
      const tickAtMs = Math.min(untilMs, this.nowMs + this.tickMs);
      this.runDue(tickAtMs);
      this.nowMs = tickAtMs;
      for (const node of this.nodes) {
        this.handle(node, { type: "clock/ticked" });
      }
    }
  }

  /** Lets time pass until the condition holds, for an hour at most. */
  advanceUntil(holds: () => boolean, maxMs = 3_600_000): boolean {
    const untilMs = this.nowMs + maxMs;
    while (!holds() && this.nowMs < untilMs) {
      this.advance(this.tickMs);
    }
    return holds();
  }

  kill(node: FleetNode): void {
    this.nodes.splice(this.nodes.indexOf(node), 1);
    node.dead = true;
  }

  resume(node: FleetNode): void {
    node.paused = false;
    node.held.splice(0).forEach((event) => {
      this.handle(node, event);
    });
  }

  host(name: string, zone = "a"): HostRow {
    return this.table.body(`host/${zone}/${name}`, "host");
  }

  knows(name: string, zone = "a"): boolean {
    return [...this.table.rows.keys()].some((key) => key === `host/${zone}/${name}`);
  }

  budget(pool: string): PoolBudgetRow {
    const row = [...this.table.rows.values()].find(({ key }) => key === `budget/${pool}`);
    return row?.body.type === "poolBudget"
      ? row.body
      : { type: "poolBudget", pool: poolId(pool), permits: [], absent: [] };
  }

  /** Drains a host as the operators' command line does. */
  drain(name: string, zone = "a"): void {
    const before = this.host(name, zone);
    const { host, budget } = beginDrain(before, this.budget(before.pool), "operator");
    this.table.put(this.nowMs, [`host/${zone}/${name}`, host], [`budget/${before.pool}`, budget]);
  }

  private join(node: FleetNode): FleetNode {
    this.nodes.push(node);
    return node;
  }

  handle(node: FleetNode, event: Untimed): void {
    if (node.dead) {
      return;
    }
    if (node.paused) {
      if (event.type !== "clock/ticked") {
        node.held.push(event);
      }
      return;
    }
    for (const effect of node.handle(event, this.nowMs)) {
      this.run(node, effect);
    }
    this.checkRows();
  }

  private after(delayMs: number, act: () => void): void {
    this.due.push({ atMs: this.nowMs + delayMs, act });
    this.due.sort((left, right) => left.atMs - right.atMs);
  }

  private runDue(untilMs: number): void {
    let next = this.due[0];
    while (next !== undefined && next.atMs <= untilMs) {
      this.due.shift();
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.act();
      next = this.due[0];
    }
  }

  private run(node: FleetNode, effect: Effect): void {
    if (effect.type === "table/read") {
      this.read(node, effect);
    } else if (effect.type === "table/write") {
      this.write(node, effect);
    } else if (effect.type === "hosts/list") {
      const hosts = [...this.listed.values()];
      this.after(LATENCY_MS, () => {
        this.handle(node, { type: "hosts/listed", hosts });
      });
    } else if (effect.type === "host/reboot") {
      this.reboot(node, effect.hostId);
    }
  }

  private read(node: FleetNode, { ranges }: Extract<Effect, { type: "table/read" }>): void {
    const sentAtMs = this.nowMs;
    if (node.cutOff || node.dropReads) {
      this.after(TIMEOUT_MS, () => {
        this.handle(node, { type: "table/readFailed", reason: "cut off" });
      });
      return;
    }
    this.after(LATENCY_MS, () => {
      const { rows, version } = this.table.read(ranges);
      const upToVersion = version;
      const tableTimeMs = this.nowMs;
      this.after(LATENCY_MS, () => {
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
      this.after(TIMEOUT_MS, () => {
        this.handle(node, { type: "table/writeUnanswered", writeId, reason: "cut off" });
      });
    };
    if (node.cutOff || node.dropWrites) {
      unanswered();
      return;
    }
    this.after(LATENCY_MS + node.delayWritesMs, () => {
      const result = this.table.write(write, this.nowMs);
      if (node.loseReplies > 0) {
        node.loseReplies -= 1;
        unanswered();
        return;
      }
      this.after(LATENCY_MS, () => {
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
    const isBusy = this.nodes.some((one) => one.worksOn(id));
    if (isBusy) {
      this.violations.push(`${id} rebooted with work in flight`);
    }
    this.after(this.rebootMs, () => {
      this.handle(
        node,
        this.broken.has(id)
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

  private checkRows(): void {
    const states = this.nodes.map(({ state }) => state);
    noWorkCutOff(this.bodies("host"), states).forEach((id) =>
      this.violations.push(`${id} stopped with work`),
    );
    hostInOnePool(this.table.rows.values()).forEach((id) =>
      this.violations.push(`${id} in two pools`),
    );
  }

  private checkBudgets(before: ReadonlyMap<string, TableRow>, after: readonly TableRow[]): void {
    const rules = this.nodes.find(({ state }) => state.revisions.revision > 0)?.state.revisions
      .rules;
    for (const { key, body } of after) {
      const rule = body.type === "poolBudget" ? rules?.pools.get(body.pool) : undefined;
      if (body.type === "poolBudget" && rule !== undefined) {
        const old = before.get(key)?.body;
        if (!budgetHolds(old?.type === "poolBudget" ? old : null, body, rule)) {
          this.violations.push(`${body.pool} over its budget`);
        }
      }
    }
  }
}
