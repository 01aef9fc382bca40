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
import { SiteJudge } from "./siteJudge.js";
import type { NodeProcessor } from "./siteProcessor.js";

export interface SiteNode {
  readonly name: string;
  state: State;
  /** Time that the node's steady clock missed. */
  frozenMs: number;
  frozenUntilMs: number;
  life: number;
  up: boolean;
  refusedUntilMs: number;
  /** Its share of a processor, in cores; null where events take no time. */
  readonly cores: number | null;
  /** The processor of its present life. */
  processor: NodeProcessor | null;
}

type StoreEffect<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;

/** Steady clocks of nodes are ahead of the site's by this much. */
const CLOCK_AHEAD_MS = 1_000;

const FAULTLESS = { lostPercent: 0, latePercent: 0 };

/** Parts that a scan reads one by one, each at its own moment. */
const SCAN_PARTS = 4;

const partOf = (row: StoreRow): number => {
  const id = row.type === "handIn" ? row.handIn.id : row.type === "cancel" ? row.id : "0";
  return Number.parseInt(id.slice(-1), 16) % SCAN_PARTS;
};

/** The store as nodes reach it: slow, lossy, down or forgetful as the day has it. */
export abstract class SiteStore extends SiteJudge {
  readonly store = new MemoryStore();
  faults: { lostPercent: number; latePercent: number } = FAULTLESS;
  storeDownUntilMs = 0;
  /** Writes are refused until then, reads are not. */
  writesRefusedUntilMs = 0;
  /** How long the answer to a write takes. */
  writeAnswerMs = 4;
  /** The store tells of no changes of a table until then. */
  feedDownUntilMs: Partial<Record<Feed, number>> = {};
  /** The parts of a scan are read within this time, each at its own moment. */
  scanMs: Partial<Record<Scan, number>> = {};
  /** What a scan has read is on its way for so long. */
  scanAnswerMs: Partial<Record<Scan, number>> = {};

  /** @returns The node's steady clock, which stands still while it is frozen. */
  protected clockOf(node: SiteNode): number {
    return CLOCK_AHEAD_MS + this.nowMs - node.frozenMs;
  }

  /** Hands an event to a node, now. */
  protected abstract handle(node: SiteNode, event: Event): void;

  protected answerLater(node: SiteNode, delayMs: number, event: Event): void {
    const { life } = node;
    this.at(delayMs, () => {
      if (node.life === life) {
        this.handle(node, event);
      }
    });
  }

  /** The store's steady clock, which is none of the nodes'. */
  private storeMs(): number {
    return 5_000 + this.nowMs;
  }

  protected storeServes(node: SiteNode): boolean {
    return this.nowMs >= this.storeDownUntilMs && this.nowMs >= node.refusedUntilMs;
  }

  protected scan(node: SiteNode, { scan }: StoreEffect<"store/scan">, sentAtMs: number): void {
    const spreadMs = this.scanMs[scan] ?? 0;
    const firstMs = 2 + this.pick(8);
    const rows: StoreRow[] = [];
    let version = Infinity;
    let storeMs = Infinity;
    let refused = false;
    for (let part = 0; part < SCAN_PARTS; part += 1) {
      this.at(firstMs + (spreadMs > 0 ? this.pick(spreadMs) : 0), () => {
        refused ||= !this.storeServes(node);
        rows.push(...this.store.scan(scan).filter((row) => partOf(row) === part));
        version = Math.min(version, this.store.version);
        storeMs = Math.min(storeMs, this.storeMs());
      });
    }
    this.at(firstMs + spreadMs, () => {
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
    life: number,
    effect: StoreEffect<"store/feed">,
    untilMs: number,
  ): void {
    const { feed, sentAtMs } = effect;
    this.at(this.pick(6) + 2, () => {
      if (node.life !== life) {
        return;
      }
      const historyLost = Number(effect.after) < this.store.forgottenUpTo;
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
        this.at(20, () => {
          this.feed(node, life, effect, untilMs);
        });
      }
    });
  }

  protected commit(node: SiteNode, commit: StoreEffect<"store/commit">, sentAtMs: number): void {
    const { commitId } = commit;
    const settled = { type: "store/commitSettled" as const, commitId, sentAtMs, atMs: 0 };
    const nothing = { version: null, rows: [], reason: "down" };
    if (!this.storeServes(node) || this.nowMs < this.writesRefusedUntilMs) {
      this.answerLater(node, 2, { ...settled, ...nothing, result: "refused" });
      return;
    }
    if (this.chance(this.faults.lostPercent)) {
      this.at(this.chance(50) ? 0 : this.pick(3_000), () => {
        this.store.commit(commit);
      });
      this.answerLater(node, 1_000, { ...settled, ...nothing, result: "unanswered" });
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
      handIn: handIn === undefined ? null : { handIn: handIn.handIn, version: handIn.version },
      cancelled: rows.some((row) => row.type === "cancel"),
      progress: progress?.progress ?? null,
      atMs: 0,
    });
  }
}
