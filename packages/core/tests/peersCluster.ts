import {
  address,
  availabilityZoneId,
  entryHostId,
  hostId,
  incarnation,
  keyHash,
  poolId,
  queueId,
  rackId,
  requestId,
  revision,
  rowKey,
  tableVersion,
  type AttemptId,
  type EntryHostId,
  type RequestId,
} from "@heatherferry/common";
import {
  initialState,
  peerCallId,
  reduce,
  type Effect,
  type Event,
  type PeerSeed,
  type RequestArrived,
  type State,
} from "../src/index.js";
import { FakeTable } from "./peersFakeTable.js";

export type Untimed = Event extends infer E ? (E extends Event ? Omit<E, "atMs"> : never) : never;

const TABLE_DELAY_MS = 3;
const PEER_DELAY_MS = 1;
const TICK_MS = 100;
const TIMEOUT_MS = 1_000;
const ZONE = availabilityZoneId("z");
export const POOL = poolId("press");
export const SECRET = keyHash("a".repeat(64));

export interface Node {
  readonly id: EntryHostId;
  readonly state: State;
  alive: boolean;
}

/** How a request ended for its caller. */
export type Ending = "answered" | "replayed" | "brokenOff" | `${"notRun" | "unknown"}:${string}`;

/** A few reducers of one zone under virtual time, with a table, targets and links that can fail. */
export class PeersCluster {
  readonly table = new FakeTable();
  readonly nodes = new Map<EntryHostId, Node>();
  readonly cutFromTable = new Set<EntryHostId>();
  readonly endings = new Map<RequestId, Ending>();
  /** How often a target was handed a piece of work, by the name the caller gave it. */
  readonly runs = new Map<string, number>();
  readonly running = new Map<string, number>();
  serviceMs: () => number = () => 50;
  /** Whether a message between peers is lost. */
  loses: (from: EntryHostId, to: EntryHostId) => boolean = () => false;
  nowMs = 0;
  onEffect: (node: Node, effect: Effect) => void = () => undefined;
  private readonly due = new Map<number, (() => void)[]>();
  private sequence = 0;
  private readonly works = new Map<RequestId, string>();
  private readonly aborted = new Set<AttemptId>();

  rules(text: string, number: number): void {
    const body = {
      type: "rulesHead",
      revision: revision(number),
      text,
      appliedBy: "operator",
      appliedAtMs: 0,
    } as const;
    this.table.commit({ key: rowKey("rules/head"), body }, this.nowMs);
  }

  target(name: string, slots: number): void {
    const body = {
      type: "host",
      hostId: hostId(name),
      availabilityZone: ZONE,
      rack: rackId("r"),
      pool: POOL,
      address: address(`${name}:1`),
      slots,
      phase: "inService",
      drainEpoch: 0,
      drainReason: null,
      moveTo: null,
      waveId: null,
    } as const;
    this.table.commit({ key: rowKey(`host/z/${name}`), body }, this.nowMs);
  }

  start(name: string, life = "1", seeds: readonly string[] = []): Node {
    const id = entryHostId(name);
    const identity = {
      role: "entry",
      entryHostId: id,
      availabilityZone: ZONE,
      incarnation: incarnation(`${name}-${life}`),
      callerAddress: address(`${name}:80`),
      peerAddress: address(`${name}:90`),
    } as const;
    const peerSeeds: PeerSeed[] = seeds.map((seed) => ({
      entryHostId: entryHostId(seed),
      peerAddress: address(`${seed}:90`),
    }));
    const node: Node = { id, state: initialState(identity, 7, this.nowMs), alive: true };
    this.nodes.set(id, node);
    this.hand(node, { type: "peers/seeded", seeds: peerSeeds });
    this.tick(node);
    return node;
  }

  kill(node: Node): void {
    node.alive = false;
  }

  advance(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += 1) {
      const now = this.due.get(this.nowMs) ?? [];
      now.forEach((run) => {
        run();
      });
      this.due.delete(this.nowMs);
    }
  }

  at(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const list = this.due.get(atMs);
    if (list === undefined) {
      this.due.set(atMs, [run]);
    } else {
      list.push(run);
    }
  }

  send(node: Node, work: string, fields: Partial<RequestArrived> = {}): RequestId {
    this.sequence += 1;
    const id = requestId(`${node.id}-${this.sequence}`);
    this.works.set(id, work);
    this.hand(node, {
      type: "request/arrived",
      requestId: id,
      queue: queueId("dies"),
      keyHash: SECRET,
      idempotent: false,
      idempotencyKey: null,
      ticket: null,
      timeoutMs: null,
      forwarded: false,
      ...fields,
    });
    return id;
  }

  hand(node: Node, event: Untimed): void {
    if (!node.alive) {
      return;
    }
    const effects = reduce(node.state, { ...event, atMs: this.nowMs });
    for (const effect of effects) {
      this.carryOut(node, effect);
    }
  }

  private tick(node: Node): void {
    this.hand(node, { type: "clock/ticked" });
    if (node.alive) {
      this.at(TICK_MS, () => {
        this.tick(node);
      });
    }
  }

  private nodeAt(to: EntryHostId): Node | undefined {
    const node = this.nodes.get(to);
    return node?.alive === true ? node : undefined;
  }

  private carryOut(node: Node, effect: Effect): void {
    this.onEffect(node, effect);
    switch (effect.type) {
      case "table/read":
        this.read(node, effect);
        return;
      case "table/write":
        this.write(node, effect);
        return;
      case "peer/send":
        this.deliver(node, effect);
        return;
      case "peer/readView":
        this.readView(node, effect);
        return;
      case "attempt/dispatch":
        this.dispatch(node, effect);
        return;
      case "attempt/abort":
        this.aborted.add(effect.attemptId);
        return;
      case "caller/relay":
        this.at(1, () => {
          this.endings.set(effect.requestId, "answered");
          effect.attached.forEach((id) => this.endings.set(id, "answered"));
          const { requestId: id, attemptId, failed } = effect;
          this.hand(node, { type: "attempt/completed", requestId: id, attemptId, failed });
        });
        return;
      case "caller/refuse": {
        const { outcome, kind } = effect.refusal;
        this.endings.set(effect.requestId, `${outcome}:${kind}`);
        return;
      }
      default:
        return;
    }
  }

  private read(node: Node, { ranges }: Extract<Effect, { type: "table/read" }>): void {
    const sentAtMs = this.nowMs;
    if (this.cutFromTable.has(node.id)) {
      this.at(TIMEOUT_MS, () => {
        this.hand(node, { type: "table/readFailed", reason: "cut" });
      });
      return;
    }
    this.at(TABLE_DELAY_MS, () => {
      this.hand(node, {
        type: "table/readCompleted",
        sentAtMs,
        viewAgeMs: 0,
        ranges,
        rows: this.table.read(ranges),
        upToVersion: tableVersion(this.table.version),
        tableTimeMs: this.nowMs,
      });
    });
  }

  private write(node: Node, { write }: Extract<Effect, { type: "table/write" }>): void {
    const { writeId } = write;
    if (this.cutFromTable.has(node.id)) {
      this.at(TIMEOUT_MS, () => {
        this.hand(node, { type: "table/writeUnanswered", writeId, reason: "cut" });
      });
      return;
    }
    this.at(TABLE_DELAY_MS, () => {
      const rows = this.table.write(write, this.nowMs);
      const version = tableVersion(this.table.version);
      this.hand(
        node,
        rows === null
          ? { type: "table/writeCommitted", writeId, version }
          : { type: "table/writeConflicted", writeId, rows },
      );
    });
  }

  private deliver(node: Node, effect: Extract<Effect, { type: "peer/send" }>): void {
    const to = this.nodeAt(effect.to);
    if (to === undefined || this.loses(node.id, effect.to)) {
      this.at(TIMEOUT_MS, () => {
        this.hand(node, { type: "peer/unreachable", to: effect.to });
      });
      return;
    }
    const { message } = effect;
    const life = node.state.node.identity.incarnation;
    this.at(PEER_DELAY_MS, () => {
      this.hand(to, { type: "peer/received", from: node.id, incarnation: life, message });
    });
  }

  private readView(node: Node, effect: Extract<Effect, { type: "peer/readView" }>): void {
    const to = this.nodeAt(effect.to);
    const sentAtMs = this.nowMs;
    if (to === undefined || this.loses(node.id, effect.to)) {
      this.at(TIMEOUT_MS, () => {
        this.hand(node, { type: "peer/unreachable", to: effect.to });
      });
      return;
    }
    const callId = peerCallId("call");
    this.at(PEER_DELAY_MS, () => {
      const event = { type: "peer/viewAsked", callId, ranges: effect.ranges } as const;
      const effects = reduce(to.state, { ...event, atMs: this.nowMs });
      const answer = effects.find((each) => each.type === "peer/answerView");
      const view = answer?.view ?? null;
      this.at(PEER_DELAY_MS, () => {
        this.hand(
          node,
          view === null
            ? { type: "peer/unreachable", to: effect.to }
            : { type: "table/readCompleted", sentAtMs, tableTimeMs: null, ...view },
        );
      });
    });
  }

  private dispatch(node: Node, effect: Extract<Effect, { type: "attempt/dispatch" }>): void {
    const { requestId: id, attemptId, hostId: target } = effect;
    const work = this.works.get(id) ?? id;
    this.runs.set(work, (this.runs.get(work) ?? 0) + 1);
    this.running.set(target, (this.running.get(target) ?? 0) + 1);
    this.at(this.serviceMs(), () => {
      this.running.set(target, (this.running.get(target) ?? 0) - 1);
      const replayable = true;
      if (this.aborted.has(attemptId)) {
        const failure = { stage: "sent", aborted: true, silent: false, reason: "aborted" } as const;
        const ids = { requestId: id, attemptId };
        this.hand(node, { type: "attempt/failed", ...ids, ...failure, replayable });
        return;
      }
      const answer = { requestId: id, attemptId, statusCode: 200, replayable };
      this.hand(node, { type: "attempt/answerBegan", ...answer });
    });
  }
}
