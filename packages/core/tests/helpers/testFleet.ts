import { queueId, requestId, revision, rowKey, type AttemptId } from "@heatherferry/common";
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from "pure-rand";
import {
  PLATFORM,
  reduce,
  type Effect,
  type Event,
  type TableRange,
  type TableWrite,
} from "../../src/index.js";
import { FakeTable } from "./fakeTable.js";
import {
  assertInvariants,
  hostRow,
  createFleetNode,
  type RunningWork,
  type FleetNode,
} from "./fleetNode.js";
import type { TestFleetOptions } from "./testFleetOptions.js";
import { VirtualTime } from "./virtualTime.js";

const TICK_MS = 100;
const TABLE_CLOCK_AHEAD_MS = 1_000_000;

/** Runs the real reducer of several entry hosts against one fake table, in virtual time. */
export class TestFleet {
  readonly table = new FakeTable();
  readonly time = new VirtualTime();
  readonly nodes = new Map<string, FleetNode>();
  readonly runningWork = new Map<AttemptId, RunningWork>();
  tableDown = false;
  /** Fraction of the committed writes whose reply is lost. */
  lostReplyFraction = 0;
  afterEvent: (() => void) | null = null;
  writesSent = 0;
  completedRequests = 0;
  private readonly random: RandomGenerator;
  private readonly latencyMs: number;
  private readonly startWithinMs: number;
  private readonly terms: NonNullable<TestFleetOptions["terms"]>;
  private readonly serviceMs = new Map<string, number>();
  private revision = 0;
  private requests = 0;

  constructor(options: TestFleetOptions) {
    this.random = xoroshiro128plus(options.seed);
    this.latencyMs = options.latencyMs ?? 2;
    this.startWithinMs = options.startWithinMs ?? TICK_MS;
    this.terms = options.terms ?? {};
    this.applyRules(options.rules);
    for (const [zone, count] of Object.entries(options.zones)) {
      const host = hostRow(zone, options.slotsPerZone ?? 256);
      this.table.put(rowKey(`host/${zone}/${host.hostId}`), host);
      for (let number = 1; number <= count; number += 1) {
        this.start(`${zone}${number}`, zone, 1);
      }
    }
  }

  applyRules(text: string): void {
    this.revision += 1;
    this.table.put(rowKey("rules/head"), {
      type: "rulesHead",
      revision: revision(this.revision),
      text,
      appliedBy: "test",
      appliedAtMs: 0,
    });
  }

  node(name: string): FleetNode {
    const node = this.nodes.get(name);
    if (node === undefined) {
      throw new Error(`No node ${name}`);
    }
    return node;
  }

  liveNodes(): readonly FleetNode[] {
    return [...this.nodes.values()].filter((node) => node.alive);
  }

  run(forMs: number): void {
    this.time.advance(forMs);
  }

  randomBelow(below: number): number {
    return unsafeUniformIntDistribution(0, below - 1, this.random);
  }

  /** Sends requests to an entry host; each runs for `serviceMs` on a target. */
  sendRequests(name: string, queue: string, count: number, serviceMs: number): void {
    for (let index = 0; index < count; index += 1) {
      this.requests += 1;
      const id = requestId(`r${this.requests}`);
      this.serviceMs.set(id, serviceMs);
      this.deliver(this.node(name), (atMs) => ({
        type: "request/arrived",
        atMs,
        requestId: id,
        queue: queueId(queue),
        keyHash: null,
        idempotent: false,
        idempotencyKey: null,
        ticket: null,
        timeoutMs: null,
        forwarded: false,
      }));
    }
  }

  kill(name: string): void {
    this.node(name).alive = false;
  }

  /** Starts a new incarnation of a node; the previous one goes on if it has not been killed. */
  replace(name: string): void {
    const previous = this.node(name);
    this.nodes.set(`${name}#${previous.incarnation}`, previous);
    this.start(name, previous.zone, previous.incarnation + 1);
  }

  pause(name: string, forMs: number): void {
    const node = this.node(name);
    node.paused = true;
    this.time.after(forMs, () => {
      this.resume(node);
    });
  }

  shutdown(name: string): void {
    this.deliver(this.node(name), (atMs) => ({ type: "node/shutdownRequested", atMs }));
  }

  setZoneDisconnected(zone: string, cut: boolean): void {
    for (const node of this.nodes.values()) {
      if (node.zone === zone) {
        node.disconnected = cut;
      }
    }
  }

  /** Reconnects all nodes, makes the table available and stops losing replies. */
  endFaults(): void {
    this.tableDown = false;
    this.lostReplyFraction = 0;
    for (const node of this.nodes.values()) {
      node.disconnected = false;
    }
  }

  runningOf(team: string): number {
    return [...this.runningWork.values()].filter((work) => work.team === team).length;
  }

  private start(name: string, zone: string, incarnation: number): void {
    const clockOffsetMs = this.randomBelow(1_000_000);
    const identity = { name, zone, incarnation, clockOffsetMs };
    const node = createFleetNode(
      identity,
      this.randomBelow(1_000_000),
      this.time.nowMs + clockOffsetMs,
    );
    node.state.limits.terms = { ...node.state.limits.terms, ...this.terms };
    this.nodes.set(name, node);
    this.time.after(this.randomBelow(this.startWithinMs), () => {
      this.tick(node);
    });
  }

  private tick(node: FleetNode): void {
    if (!node.alive) {
      return;
    }
    if (!node.paused) {
      this.deliver(node, (atMs) => ({ type: "clock/ticked", atMs }));
    }
    this.time.after(TICK_MS, () => {
      this.tick(node);
    });
  }

  private resume(node: FleetNode): void {
    node.paused = false;
    const inbox = node.queuedEvents;
    node.queuedEvents = [];
    for (const event of inbox) {
      this.deliver(node, event);
    }
  }

  private deliver(node: FleetNode, event: (atMs: number) => Event): void {
    if (!node.alive) {
      return;
    }
    if (node.paused) {
      node.queuedEvents.push(event);
      return;
    }
    const timedEvent = event(this.time.nowMs + node.clockOffsetMs);
    const effects = reduce(node.state, timedEvent);
    assertInvariants(node, timedEvent, effects);
    for (const effect of effects) {
      this.carryOut(node, effect);
    }
    this.afterEvent?.();
  }

  private carryOut(node: FleetNode, effect: Effect): void {
    switch (effect.type) {
      case "table/read":
        this.read(node, effect.ranges);
        return;
      case "table/write":
        this.write(node, effect.write);
        return;
      case "attempt/dispatch":
        this.startWork(node, effect.requestId, effect.attemptId);
        return;
      case "attempt/abort":
        this.abortWork(node, effect.requestId, effect.attemptId);
        return;
      case "node/exit":
        node.alive = false;
        return;
      default:
        return;
    }
  }

  private reaches(node: FleetNode): boolean {
    return !node.disconnected && !this.tableDown;
  }

  private read(node: FleetNode, ranges: readonly TableRange[]): void {
    const sentAtMs = this.time.nowMs + node.clockOffsetMs;
    this.time.after(this.latencyMs, () => {
      if (!this.reaches(node)) {
        this.replyAfter(node, PLATFORM.READ_TIMEOUT_MS, (atMs) => ({
          type: "table/readFailed",
          atMs,
          reason: "no reply",
        }));
        return;
      }
      this.table.nowMs = this.time.nowMs + TABLE_CLOCK_AHEAD_MS;
      const answer = this.table.read(ranges);
      this.replyAfter(node, this.latencyMs, (atMs) => ({
        type: "table/readCompleted",
        atMs,
        sentAtMs,
        viewAgeMs: 0,
        ranges,
        ...answer,
      }));
    });
  }

  private write(node: FleetNode, write: TableWrite): void {
    this.writesSent += 1;
    const { writeId } = write;
    const unanswered = (): void => {
      this.replyAfter(node, PLATFORM.WRITE_TIMEOUT_MS, (atMs) => ({
        type: "table/writeUnanswered",
        atMs,
        writeId,
        reason: "no reply",
      }));
    };
    this.time.after(this.latencyMs, () => {
      if (!this.reaches(node)) {
        unanswered();
        return;
      }
      this.table.nowMs = this.time.nowMs + TABLE_CLOCK_AHEAD_MS;
      const answer = this.table.write(write);
      if (this.randomBelow(1_000) < this.lostReplyFraction * 1_000) {
        unanswered();
        return;
      }
      this.replyAfter(node, this.latencyMs, (atMs) =>
        answer.committed
          ? { type: "table/writeCommitted", atMs, writeId, version: answer.version }
          : { type: "table/writeConflicted", atMs, writeId, rows: answer.rows },
      );
    });
  }

  private replyAfter(node: FleetNode, delayMs: number, event: (atMs: number) => Event): void {
    this.time.after(delayMs, () => {
      this.deliver(node, event);
    });
  }

  private startWork(node: FleetNode, id: ReturnType<typeof requestId>, attemptId: AttemptId): void {
    const team = node.state.requests.attempts.get(attemptId)?.team;
    if (team === undefined) {
      throw new Error(`No attempt ${attemptId}`);
    }
    this.runningWork.set(attemptId, { node: node.name, team, attemptId });
    this.time.after(this.serviceMs.get(id) ?? 0, () => {
      if (this.runningWork.delete(attemptId)) {
        this.completedRequests += 1;
        this.deliver(node, (atMs) => ({
          type: "attempt/completed",
          atMs,
          requestId: id,
          attemptId,
          failed: false,
        }));
      }
    });
  }

  private abortWork(node: FleetNode, id: ReturnType<typeof requestId>, attemptId: AttemptId): void {
    if (!this.runningWork.delete(attemptId)) {
      return;
    }
    this.replyAfter(node, 1, (atMs) => ({
      type: "attempt/failed",
      atMs,
      requestId: id,
      attemptId,
      stage: "sent",
      aborted: true,
      silent: false,
      replayable: false,
      reason: "aborted",
    }));
  }
}
