import {
  entryHostId,
  queueId,
  requestId,
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
  type Refusal,
  type RequestArrived,
} from "../src/index.js";
import {
  identityOf,
  verifyTicket,
  seedsOf,
  type Ending,
  type Node,
  type UntimedEvent,
} from "./peersNode.js";
import { VirtualClock } from "./peersClock.js";
import { FakeTable } from "./peersFakeTable.js";
import { hostPut, rulesPut, SECRET } from "./peersRows.js";

const PEER_DELAY_MS = 1;
const TICK_MS = 100;
const TIMEOUT_MS = 1_000;

/** Simulates one zone on a virtual clock: entry hosts, a table, targets and links that can fail. */
export class PeersCluster extends VirtualClock {
  readonly table = new FakeTable();
  readonly nodes = new Map<EntryHostId, Node>();
  /** Entry hosts that cannot reach the table. */
  readonly disconnectedFromTable = new Set<EntryHostId>();
  readonly endings = new Map<RequestId, Ending>();
  /** Number of times that a target received a piece of work, by the name of the work. */
  readonly runs = new Map<string, number>();
  serviceMs: () => number = () => 50;
  /** Whether a message from one peer to another is lost. */
  losesMessage: (from: EntryHostId, to: EntryHostId) => boolean = () => false;
  tableDelayMs = 3;
  onEffect: (node: Node, effect: Effect) => void = () => undefined;
  private sequence = 0;
  /** Entry hosts whose writes take effect while the replies are lost. */
  readonly losingTableReplies = new Set<EntryHostId>();
  /** Whether a target's answer breaks off after it has begun. */
  interruptsAnswer: () => boolean = () => false;
  private readonly workByRequest = new Map<RequestId, string>();
  private readonly arrivals = new Map<RequestId, Partial<RequestArrived>>();
  private readonly endingListeners = new Map<RequestId, (ending: Ending) => void>();
  private readonly aborted = new Set<AttemptId>();

  applyRules(text: string, number: number): void {
    this.table.commit(rulesPut(text, number), this.nowMs);
  }

  addTarget(name: string, slots: number): void {
    this.table.commit(hostPut(name, slots), this.nowMs);
  }

  startNode(name: string, incarnation = "1", seeds: readonly string[] = []): Node {
    const id = entryHostId(name);
    const identity = identityOf(name, incarnation);
    const node: Node = { id, state: initialState(identity, 7, this.nowMs), alive: true };
    this.nodes.set(id, node);
    this.handleEvent(node, { type: "peers/seeded", seeds: seedsOf(seeds) });
    this.tick(node);
    return node;
  }

  kill(node: Node): void {
    node.alive = false;
  }

  send(node: Node, work: string, fields: Partial<RequestArrived> = {}): RequestId {
    this.sequence += 1;
    const id = requestId(`${node.id}-${this.sequence}`);
    this.workByRequest.set(id, work);
    this.arrivals.set(id, fields);
    this.handleEvent(node, {
      type: "request/arrived",
      requestId: id,
      queue: queueId("dies"),
      keyHash: SECRET,
      idempotent: false,
      idempotencyKey: null,
      timeoutMs: null,
      forwarded: false,
      ...fields,
      ticket: verifyTicket(node.state, fields.ticket ?? null),
    });
    return id;
  }

  private recordEnding(id: RequestId, ending: Ending): void {
    this.endings.set(id, ending);
    this.endingListeners.get(id)?.(ending);
  }

  handleEvent(node: Node, event: UntimedEvent): void {
    if (!node.alive) {
      return;
    }
    for (const effect of reduce(node.state, { ...event, atMs: this.nowMs })) {
      this.runEffect(node, effect);
    }
  }

  private tick(node: Node): void {
    this.handleEvent(node, { type: "clock/ticked" });
    if (node.alive) {
      this.schedule(TICK_MS, () => {
        this.tick(node);
      });
    }
  }

  private runningNode(to: EntryHostId): Node | undefined {
    return this.nodes.get(to)?.alive === true ? this.nodes.get(to) : undefined;
  }

  private runEffect(node: Node, effect: Effect): void {
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
        this.schedule(1, () => {
          const { requestId: id, attemptId, failed } = effect;
          if (this.interruptsAnswer()) {
            const failure = { stage: "answering", aborted: false, silent: false } as const;
            const ids = { requestId: id, attemptId, reason: "reset", replayable: true };
            this.handleEvent(node, { type: "attempt/failed", ...ids, ...failure });
          } else if (node.alive) {
            this.recordEnding(id, "answered");
            this.handleEvent(node, { type: "attempt/completed", requestId: id, attemptId, failed });
          }
        });
        return;
      case "caller/refuse": {
        const { outcome, kind } = effect.refusal;
        this.recordEnding(effect.requestId, `${outcome}:${kind}`);
        return;
      }
      case "caller/replayKept":
        this.recordEnding(effect.requestId, "replayed");
        return;
      case "caller/breakOff":
        this.recordEnding(effect.requestId, "brokenOff");
        return;
      case "peer/forwardRequest":
        this.forward(node, effect);
        return;
    }
  }

  private read(node: Node, { ranges }: Extract<Effect, { type: "table/read" }>): void {
    const sentAtMs = this.nowMs;
    if (this.disconnectedFromTable.has(node.id)) {
      this.schedule(TIMEOUT_MS, () => {
        this.handleEvent(node, { type: "table/readFailed", reason: "cut" });
      });
      return;
    }
    this.schedule(this.tableDelayMs, () => {
      this.handleEvent(node, {
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
    if (this.disconnectedFromTable.has(node.id)) {
      this.schedule(TIMEOUT_MS, () => {
        this.handleEvent(node, { type: "table/writeUnanswered", writeId, reason: "cut" });
      });
      return;
    }
    this.schedule(this.tableDelayMs, () => {
      const rows = this.table.write(write, this.nowMs);
      const version = tableVersion(this.table.version);
      if (this.losingTableReplies.has(node.id)) {
        this.handleEvent(node, { type: "table/writeUnanswered", writeId, reason: "reply lost" });
        return;
      }
      this.handleEvent(
        node,
        rows === null
          ? { type: "table/writeCommitted", writeId, version }
          : { type: "table/writeConflicted", writeId, rows },
      );
    });
  }

  private deliver(node: Node, effect: Extract<Effect, { type: "peer/send" }>): void {
    const to = this.runningNode(effect.to);
    if (to === undefined || this.losesMessage(node.id, effect.to)) {
      this.schedule(TIMEOUT_MS, () => {
        this.handleEvent(node, { type: "peer/unreachable", to: effect.to });
      });
      return;
    }
    const { incarnation } = node.state.node.identity;
    this.schedule(PEER_DELAY_MS, () => {
      const { message } = effect;
      this.handleEvent(to, { type: "peer/received", from: node.id, incarnation, message });
    });
  }

  private readView(node: Node, effect: Extract<Effect, { type: "peer/readView" }>): void {
    const to = this.runningNode(effect.to);
    const sentAtMs = this.nowMs;
    if (to === undefined || this.losesMessage(node.id, effect.to)) {
      this.schedule(TIMEOUT_MS, () => {
        this.handleEvent(node, { type: "peer/unreachable", to: effect.to });
      });
      return;
    }
    this.schedule(PEER_DELAY_MS, () => {
      const event = {
        type: "peer/viewAsked",
        callId: peerCallId("call"),
        ranges: effect.ranges,
      } as const;
      const effects = reduce(to.state, { ...event, atMs: this.nowMs });
      const answer = effects.find((each) => each.type === "peer/answerView");
      const view = answer?.view ?? null;
      this.schedule(PEER_DELAY_MS, () => {
        this.handleEvent(
          node,
          view === null
            ? { type: "peer/unreachable", to: effect.to }
            : { type: "table/readCompleted", sentAtMs, tableTimeMs: null, ...view },
        );
      });
    });
  }

  private forward(node: Node, effect: Extract<Effect, { type: "peer/forwardRequest" }>): void {
    const { requestId: id, timeoutMs } = effect;
    const to = this.runningNode(effect.entryHostId);
    if (to === undefined) {
      this.schedule(PEER_DELAY_MS, () => {
        this.handleEvent(node, { type: "forward/failed", requestId: id, sent: false });
      });
      return;
    }
    let isOpen = true;
    const finish = (event: UntimedEvent): void => {
      if (isOpen) {
        isOpen = false;
        this.handleEvent(node, event);
      }
    };
    this.schedule(timeoutMs, () => {
      finish({ type: "forward/failed", requestId: id, sent: true });
    });
    this.schedule(PEER_DELAY_MS, () => {
      if (!to.alive || to.state.node.identity.incarnation !== effect.incarnation) {
        return;
      }
      const fields = { ...this.arrivals.get(id), forwarded: true, timeoutMs };
      this.endingListeners.set(requestId(`${to.id}-${this.sequence + 1}`), (ending) => {
        const [outcome, kind] = ending.split(":");
        const refusal = { outcome, kind, retryAfterMs: null } as Refusal;
        this.schedule(PEER_DELAY_MS, () => {
          const answered = kind === undefined;
          this.endings.set(id, answered && node.alive ? ending : (this.endings.get(id) ?? ending));
          finish(
            answered
              ? { type: "forward/answered", requestId: id }
              : { type: "forward/refused", requestId: id, refusal },
          );
        });
      });
      this.send(to, this.workByRequest.get(id) ?? id, fields);
    });
  }

  private dispatch(node: Node, effect: Extract<Effect, { type: "attempt/dispatch" }>): void {
    const { requestId: id, attemptId } = effect;
    const work = this.workByRequest.get(id) ?? id;
    this.runs.set(work, (this.runs.get(work) ?? 0) + 1);
    this.schedule(this.serviceMs(), () => {
      const replayable = true;
      if (this.aborted.has(attemptId)) {
        const failure = { stage: "sent", aborted: true, silent: false, reason: "aborted" } as const;
        const ids = { requestId: id, attemptId };
        this.handleEvent(node, { type: "attempt/failed", ...ids, ...failure, replayable });
        return;
      }
      const answer = { requestId: id, attemptId, statusCode: 200, replayable };
      this.handleEvent(node, { type: "attempt/answerBegan", ...answer });
    });
  }
}
