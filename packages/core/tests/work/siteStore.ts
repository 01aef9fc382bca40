import {
  storeVersion,
  type Effect,
  type Event,
  type Feed,
  type Scan,
  type State,
  type StoreRow,
  type SubmissionId,
} from "../../src/index.js";
import { MemoryStore } from "./memoryStore.js";
import { SiteInvariants } from "./siteInvariants.js";
import type { NodeProcessor } from "./siteProcessor.js";

export interface SiteNode {
  readonly name: string;
  state: State;
  /** Total time that the node's monotonic clock stood still. */
  frozenMs: number;
  frozenUntilMs: number;
  incarnation: number;
  up: boolean;
  refusedUntilMs: number;
  /** Processor share of the node, in cores. */
  readonly cores: number;
  /** The processor of the present incarnation; null if events take no time. */
  processor: NodeProcessor | null;
}

type StoreEffect<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;

/** Offset of the nodes' monotonic clocks from the simulated time. */
const CLOCK_OFFSET_MS = 1_000;

const NO_FAULTS = { lostPercent: 0, latePercent: 0 };

/** Number of parts that a scan reads, each at a time of its own. */
const SCAN_PARTS = 4;

const partOf = (row: StoreRow): number => {
  const id = row.type === "handIn" ? row.submission.id : row.type === "cancel" ? row.id : "0";
  return Number.parseInt(id.slice(-1), 16) % SCAN_PARTS;
};

/** The store as the nodes see it, with the latency, losses and outages of the scenario. */
export abstract class SiteStore extends SiteInvariants {
  readonly store = new MemoryStore();
  faults: { lostPercent: number; latePercent: number } = NO_FAULTS;
  storeDownUntilMs = 0;
  /** Until when writes are refused while reads are served. */
  writesRefusedUntilMs = 0;
  /** How late hand-ins are stored, without an answer; null if they are stored at once. */
  handInDelayMs: number | null = null;
  /** Latency of the answer to a write. */
  writeAnswerMs = 4;
  /** Until when feeds fail, by table. */
  feedDownUntilMs: Partial<Record<Feed, number>> = {};
  /** Time over which the parts of a scan are read, by table. */
  scanMs: Partial<Record<Scan, number>> = {};
  /** Latency of the answer to a scan, by table. */
  scanAnswerMs: Partial<Record<Scan, number>> = {};

  /** Returns the node's monotonic clock, which stands still while the node is frozen. */
  protected clockOf(node: SiteNode): number {
    return CLOCK_OFFSET_MS + this.nowMs - node.frozenMs;
  }

  /** Delivers an event to a node at once. */
  protected abstract handle(node: SiteNode, event: Event): void;

  /** Delivers an event after a delay, unless the node has restarted meanwhile. */
  protected answerLater(node: SiteNode, delayMs: number, event: Event): void {
    const { incarnation } = node;
    this.schedule(delayMs, () => {
      if (node.incarnation === incarnation) {
        this.handle(node, event);
      }
    });
  }

  /** Returns the store's monotonic clock, which differs from those of the nodes. */
  private storeMs(): number {
    return 5_000 + this.nowMs;
  }

  /** Whether the store answers a node now. */
  protected storeServes(node: SiteNode): boolean {
    return this.nowMs >= this.storeDownUntilMs && this.nowMs >= node.refusedUntilMs;
  }

  protected scan(node: SiteNode, { scan }: StoreEffect<"store/scan">, sentAtMs: number): void {
    const spreadMs = this.scanMs[scan] ?? 0;
    const firstMs = 2 + this.randomBelow(8);
    const rows: StoreRow[] = [];
    let version = Infinity;
    let storeMs = Infinity;
    let refused = false;
    for (let part = 0; part < SCAN_PARTS; part += 1) {
      this.schedule(firstMs + (spreadMs > 0 ? this.randomBelow(spreadMs) : 0), () => {
        refused ||= !this.storeServes(node);
        rows.push(...this.store.scan(scan).filter((row) => partOf(row) === part));
        version = Math.min(version, this.store.version);
        storeMs = Math.min(storeMs, this.storeMs());
      });
    }
    this.schedule(firstMs + spreadMs, () => {
      this.answerLater(
        node,
        this.scanAnswerMs[scan] ?? 2,
        refused
          ? { type: "store/scanFailed", scan, reason: "down", atMs: 0 }
          : {
              type: "store/scanned",
              scan,
              sentAtMs,
              rows,
              version: storeVersion(version),
              storeMs,
              atMs: 0,
            },
      );
    });
  }

  protected feed(
    node: SiteNode,
    incarnation: number,
    effect: StoreEffect<"store/feed">,
    untilMs: number,
  ): void {
    const { feed, sentAtMs } = effect;
    this.schedule(this.randomBelow(6) + 2, () => {
      if (node.incarnation !== incarnation) {
        return;
      }
      const historyLost = Number(effect.after) < this.store.historyLostUpTo;
      if (
        historyLost ||
        this.nowMs < (this.feedDownUntilMs[feed] ?? 0) ||
        !this.storeServes(node)
      ) {
        const reason = historyLost ? "history lost" : "down";
        this.handle(node, {
          type: "store/feedFailed",
          feed,
          sentAtMs,
          historyLost,
          reason,
          atMs: 0,
        });
        return;
      }
      const rows = this.store.changes(feed, Number(effect.after));
      if (rows.length > 0 || this.nowMs >= untilMs) {
        const version = storeVersion(this.store.version);
        const storeMs = this.storeMs();
        this.handle(node, {
          type: "store/feedAnswered",
          feed,
          sentAtMs,
          rows,
          version,
          storeMs,
          atMs: 0,
        });
      } else {
        this.schedule(20, () => {
          this.feed(node, incarnation, effect, untilMs);
        });
      }
    });
  }

  protected commit(node: SiteNode, commit: StoreEffect<"store/commit">, sentAtMs: number): void {
    const { commitId } = commit;
    const settled = { type: "store/commitSettled" as const, commitId, sentAtMs, atMs: 0 };
    const noResult = { version: null, rows: [], reason: "down" };
    if (!this.storeServes(node) || this.nowMs < this.writesRefusedUntilMs) {
      this.answerLater(node, 2, { ...settled, ...noResult, result: "refused" });
      return;
    }
    if (this.randomChance(this.faults.lostPercent)) {
      this.schedule(this.randomChance(50) ? 0 : this.randomBelow(3_000), () => {
        this.store.commit(commit);
      });
      this.answerLater(node, 1_000, { ...settled, ...noResult, result: "unanswered" });
      return;
    }
    if (this.handInDelayMs !== null && commit.writes.some(({ type }) => type === "handIn")) {
      this.schedule(this.handInDelayMs, () => {
        this.store.commit(commit);
      });
      this.answerLater(node, 1_000, { ...settled, ...noResult, result: "unanswered" });
      return;
    }
    const rows = this.store.commit(commit);
    const version = storeVersion(this.store.version);
    this.answerLater(
      node,
      this.writeAnswerMs,
      rows === null
        ? { ...settled, result: "committed", version, rows: [], reason: null }
        : { ...settled, result: "conflicted", version: null, rows, reason: "conflict" },
    );
  }

  protected lookUp(node: SiteNode, callId: string, id: SubmissionId): void {
    if (!this.storeServes(node)) {
      this.answerLater(node, 2, { type: "store/lookUpFailed", callId, reason: "down", atMs: 0 });
      return;
    }
    const rows = this.store.lookUp(id);
    const handIn = rows.find((row) => row.type === "handIn");
    const progress = rows.find((row) => row.type === "progress");
    this.answerLater(node, 3, {
      type: "store/lookedUp",
      callId,
      stored: handIn === undefined ? null : { row: handIn.submission, version: handIn.version },
      cancelled: rows.some((row) => row.type === "cancel"),
      progress: progress?.progress ?? null,
      atMs: 0,
    });
  }
}
