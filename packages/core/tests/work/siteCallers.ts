import { poolId, queueId, teamId } from "@heatherferry/common";
import {
  SUBMISSION_STATE,
  type CallAnswer,
  type CallKind,
  type Effect,
  type EndLine,
  type HandIn,
  type ItemKey,
  type SubmissionId,
  type WorkSpec,
} from "../../src/index.js";
import { partsOf, type MemoryWorker, type WorkerRun } from "./memoryWorker.js";
import { BOUNDS } from "./siteFixtures.js";
import { SiteHosts } from "./siteHosts.js";
import type { SiteNode } from "./siteStore.js";

interface Submitted {
  readonly handIn: HandIn;
  readonly acceptedAtMs: number;
  /** A cancel may take effect although its answer was lost. */
  cancelAsked: boolean;
  /** When the cancel was acknowledged. */
  cancelledAtMs: number | null;
}

/** A count may be this old, on top of the time until a submission has to be visible. */
const COUNT_AGE_MS = 2_000;

/** Nothing of a submission may be ordered so long after its cancel was acknowledged. */
const CANCEL_MS = 3_000;

const isItemDone = (done: ReadonlySet<ItemKey>, { id, work }: HandIn): boolean =>
  work.steps.every(({ count }, step) =>
    Array.from({ length: count }).every((_, index) =>
      done.has(`${id}.0.${step}.${index}` as ItemKey),
    ),
  );

/** Callers, who judge what they are shown; throws where a promise is broken. */
export abstract class SiteCallers extends SiteHosts {
  readonly nodes: SiteNode[] = [];
  readonly accepted = new Map<SubmissionId, Submitted>();
  readonly answers = new Map<string, string>();
  /** Answers to calls that ask, by kind. */
  readonly asked = new Map<string, number>();
  private readonly begun = new Set<string>();
  private readonly doneItems = new Set<ItemKey>();
  private readonly callers = new Map<string, (answer: CallAnswer) => void>();

  submit(id: string, pool: string, work: WorkSpec, nodeIndex: number): void {
    const handIn = {
      id: id as SubmissionId,
      queue: queueId(pool),
      pool: poolId(pool),
      team: teamId("lots"),
      acceptedWallMs: 0,
      work,
    };
    this.specs.set(id, handIn);
    this.call(nodeIndex, id, "submit", `/${pool}/${id}`, work, ({ kind }) => {
      if (kind === "accepted" && !this.accepted.has(handIn.id)) {
        this.accepted.set(handIn.id, {
          handIn,
          acceptedAtMs: this.nowMs,
          cancelAsked: false,
          cancelledAtMs: null,
        });
      }
    });
  }

  cancel(id: string, nodeIndex: number): void {
    const submitted = this.accepted.get(id as SubmissionId);
    if (submitted === undefined) {
      return;
    }
    const path = `/${submitted.handIn.pool}/${id}`;
    const sent = this.call(nodeIndex, `cancel ${id}`, "cancel", path, null, ({ kind }) => {
      if (kind === "cancelled" || kind === "gone") {
        submitted.cancelledAtMs ??= this.nowMs;
      }
    });
    submitted.cancelAsked ||= sent;
  }

  /** Asks a node how many submissions of a queue wait. */
  askPending(queue: string, nodeIndex: number): void {
    this.call(nodeIndex, `pending ${queue}`, "pending", `/${queue}/`, null, (answer) => {
      if (answer.pending !== undefined) {
        this.judgePending(queue, answer.pending);
      }
    });
  }

  /** Asks a node for the state of a submission. */
  askState(id: string, nodeIndex: number): void {
    const submitted = this.accepted.get(id as SubmissionId);
    if (submitted !== undefined) {
      const path = `/${submitted.handIn.pool}/${id}`;
      this.call(nodeIndex, `state ${id}`, "state", path, null, (answer) => {
        this.judgeState(submitted, answer);
      });
    }
  }

  /** @returns Submissions that nobody cancelled and that the store does not show as ended. */
  unfinished(): readonly string[] {
    return [...this.accepted.values()]
      .filter(({ handIn, cancelAsked }) => {
        const progress = this.store.lookUp(handIn.id).find((row) => row.type === "progress");
        const state = progress?.progress.state ?? SUBMISSION_STATE.QUEUED;
        return (
          !cancelAsked && state !== SUBMISSION_STATE.COMPLETED && state !== SUBMISSION_STATE.FAILED
        );
      })
      .map(({ handIn }) => handIn.id);
  }

  /** @returns Items of cancelled submissions that still run. */
  runningThoughCancelled(): readonly string[] {
    return [...this.workers.values()].flatMap((worker) => {
      worker.advance(this.nowMs);
      return [...worker.runs.keys()].filter((item) => this.cancelledAtMs(item) !== null);
    });
  }

  override started(worker: MemoryWorker, run: WorkerRun): void {
    super.started(worker, run);
    this.begun.add(partsOf(run.item)[0]);
  }

  override ended(end: EndLine): void {
    super.ended(end);
    if (end.kind === "done") {
      this.doneItems.add(end.item);
    }
  }

  /** Judges an order as it is sent; one that is carried out late was sent in time. */
  protected judgeOrder({ item }: Extract<Effect, { type: "worker/start" }>): void {
    const lateMs = this.nowMs - (this.cancelledAtMs(item) ?? Infinity);
    if (lateMs > CANCEL_MS) {
      throw new Error(`UNASKED: ${item} is ordered ${lateMs} ms after its cancel`);
    }
  }

  protected answered(answer: CallAnswer): void {
    this.answers.set(answer.callId, answer.kind);
    const kind = `${answer.callId.split(" ")[0] ?? ""} ${answer.kind}`;
    this.asked.set(kind, (this.asked.get(kind) ?? 0) + 1);
    this.callers.get(answer.callId)?.(answer);
    this.callers.delete(answer.callId);
  }

  /** @returns Whether there is a node that takes the call. */
  private call(
    nodeIndex: number,
    name: string,
    kind: CallKind,
    path: string,
    work: WorkSpec | null,
    answered: (answer: CallAnswer) => void,
  ): boolean {
    const node = this.nodes[nodeIndex % this.nodes.length];
    if (node?.up !== true) {
      return false;
    }
    const callId = `${name} ${this.order}`;
    this.callers.set(callId, answered);
    this.handle(node, {
      type: "call/arrived",
      callId,
      kind,
      callerHost: "site.example",
      path,
      key: "key",
      waitMs: 3_000,
      bodyBytes: 100,
      work,
      problem: null,
      atMs: 0,
    });
    return true;
  }

  private cancelledAtMs(item: ItemKey): number | null {
    return this.accepted.get(partsOf(item)[0] as SubmissionId)?.cancelledAtMs ?? null;
  }

  private judgePending(queue: string, pending: number): void {
    const waited = [...this.accepted.values()].filter(
      ({ handIn, acceptedAtMs, cancelAsked }) =>
        handIn.queue === queueId(queue) &&
        handIn.work.occurrences === 0 &&
        !cancelAsked &&
        !this.begun.has(handIn.id) &&
        this.nowMs - acceptedAtMs > BOUNDS.visibleMs + COUNT_AGE_MS,
    );
    if (pending < waited.length / 2) {
      throw new Error(`MIXED: ${pending} are said to wait; ${waited.length} have waited`);
    }
  }

  private judgeState({ handIn, cancelAsked }: Submitted, { kind, state }: CallAnswer): void {
    if (kind === "gone" && !cancelAsked) {
      throw new Error(`LOST: ${handIn.id} is said to be unknown`);
    }
    if (state === SUBMISSION_STATE.COMPLETED && !isItemDone(this.doneItems, handIn)) {
      throw new Error(`MIXED: ${handIn.id} is shown as completed`);
    }
    if (state === SUBMISSION_STATE.CANCELLED && !cancelAsked) {
      throw new Error(`LOST: ${handIn.id} is shown as cancelled`);
    }
  }
}
