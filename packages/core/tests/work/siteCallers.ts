import { poolId, queueId, teamId } from "@heatherferry/common";
import {
  SUBMISSION_STATE,
  type CallAnswer,
  type CallKind,
  type Effect,
  type EndLine,
  type SubmissionRow,
  type ItemKey,
  type SubmissionId,
  type WorkSpec,
} from "../../src/index.js";
import { partsOf, type MemoryWorker, type WorkerRun } from "./memoryWorker.js";
import { BOUNDS } from "./siteFixtures.js";
import { SiteHosts } from "./siteHosts.js";
import type { SiteNode } from "./siteStore.js";

interface Submitted {
  readonly row: SubmissionRow;
  readonly acceptedAtMs: number;
  /** Whether a cancel was sent, which may take effect even if its answer is lost. */
  cancelAsked: boolean;
  /** When the cancel was acknowledged. */
  cancelledAtMs: number | null;
}

/** Permitted age of a pending count, in addition to the time for a submission to become visible. */
const COUNT_AGE_MS = 2_000;

/** Time after an acknowledged cancel from which no item of the submission may be started. */
const CANCEL_LIMIT_MS = 3_000;

const areItemsDone = (done: ReadonlySet<ItemKey>, { id, work }: SubmissionRow): boolean =>
  work.steps.every(({ count }, step) =>
    Array.from({ length: count }).every((_, index) =>
      done.has(`${id}.0.${step}.${index}` as ItemKey),
    ),
  );

/** Simulated callers, which check the answers that they get and throw on a broken guarantee. */
export abstract class SiteCallers extends SiteHosts {
  readonly nodes: SiteNode[] = [];
  readonly accepted = new Map<SubmissionId, Submitted>();
  readonly answers = new Map<string, string>();
  /** Number of answers, by kind of call and of answer. */
  readonly answerCounts = new Map<string, number>();
  private readonly startedIds = new Set<string>();
  private readonly doneItems = new Set<ItemKey>();
  private readonly callers = new Map<string, (answer: CallAnswer) => void>();

  submit(id: string, pool: string, work: WorkSpec, nodeIndex: number): void {
    const row = {
      id: id as SubmissionId,
      queue: queueId(pool),
      pool: poolId(pool),
      team: teamId("lots"),
      acceptedWallMs: 0,
      work,
    };
    if (!this.submissionRows.has(id)) {
      this.submissionRows.set(id, row);
    }
    this.call(nodeIndex, id, "submit", `/${pool}/${id}`, work, ({ kind }) => {
      if (kind === "accepted" && !this.accepted.has(row.id)) {
        this.accepted.set(row.id, {
          row,
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
    const path = `/${submitted.row.pool}/${id}`;
    const sent = this.call(nodeIndex, `cancel ${id}`, "cancel", path, null, ({ kind }) => {
      if (kind === "cancelled" || kind === "gone") {
        submitted.cancelledAtMs ??= this.nowMs;
      }
    });
    submitted.cancelAsked ||= sent;
  }

  /** Cancels a submission whose hand-in has not been answered. */
  cancelUnanswered(id: string, pool: string, nodeIndex: number): void {
    this.call(nodeIndex, `cancel ${id}`, "cancel", `/${pool}/${id}`, null, () => undefined);
  }

  /** Asks a node for the number of pending submissions of a queue. */
  askPending(queue: string, nodeIndex: number): void {
    this.call(nodeIndex, `pending ${queue}`, "pending", `/${queue}/`, null, (answer) => {
      if (answer.pending !== undefined) {
        this.checkPending(queue, answer.pending);
      }
    });
  }

  /** Asks a node for the state of a submission. */
  askState(id: string, nodeIndex: number): void {
    const submitted = this.accepted.get(id as SubmissionId);
    if (submitted !== undefined) {
      const path = `/${submitted.row.pool}/${id}`;
      this.call(nodeIndex, `state ${id}`, "state", path, null, (answer) => {
        this.checkState(submitted, answer);
      });
    }
  }

  /** Returns submissions without a cancel that the store does not show as completed or failed. */
  unfinished(): readonly string[] {
    return [...this.accepted.values()]
      .filter(({ row, cancelAsked }) => {
        const progress = this.store.lookUp(row.id).find((stored) => stored.type === "progress");
        const state = progress?.progress.state ?? SUBMISSION_STATE.QUEUED;
        return (
          !cancelAsked && state !== SUBMISSION_STATE.COMPLETED && state !== SUBMISSION_STATE.FAILED
        );
      })
      .map(({ row }) => row.id);
  }

  /** Returns items of cancelled submissions that are still running. */
  runningAfterCancel(): readonly string[] {
    return [...this.workers.values()].flatMap((worker) => {
      worker.advance(this.nowMs);
      return [...worker.runs.keys()].filter((item) => this.cancelledAtMs(item) !== null);
    });
  }

  override started(worker: MemoryWorker, run: WorkerRun): void {
    super.started(worker, run);
    this.startedIds.add(partsOf(run.item)[0]);
  }

  override ended(end: EndLine): void {
    super.ended(end);
    if (end.kind === "done") {
      this.doneItems.add(end.item);
    }
  }

  /** Checks a start order when it is sent; one that is only carried out late was sent in time. */
  protected checkOrder({ item }: Extract<Effect, { type: "worker/start" }>): void {
    const lateMs = this.nowMs - (this.cancelledAtMs(item) ?? Infinity);
    if (lateMs > CANCEL_LIMIT_MS) {
      throw new Error(`${item} is started ${lateMs} ms after its cancel`);
    }
  }

  protected answered(answer: CallAnswer): void {
    this.answers.set(answer.callId, answer.kind);
    const kind = `${answer.callId.split(" ")[0] ?? ""} ${answer.kind}`;
    this.answerCounts.set(kind, (this.answerCounts.get(kind) ?? 0) + 1);
    this.callers.get(answer.callId)?.(answer);
    this.callers.delete(answer.callId);
  }

  /** Sends a call to a node. Returns whether the node is up. */
  private call(
    nodeIndex: number,
    name: string,
    kind: CallKind,
    path: string,
    work: WorkSpec | null,
    onAnswer: (answer: CallAnswer) => void,
  ): boolean {
    const node = this.nodes[nodeIndex % this.nodes.length];
    if (node?.up !== true) {
      return false;
    }
    const callId = `${name} ${this.sequence}`;
    this.callers.set(callId, onAnswer);
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

  private checkPending(queue: string, pending: number): void {
    const overdue = [...this.accepted.values()].filter(
      ({ row, acceptedAtMs, cancelAsked }) =>
        row.queue === queueId(queue) &&
        row.work.occurrences === 0 &&
        !cancelAsked &&
        !this.startedIds.has(row.id) &&
        this.nowMs - acceptedAtMs > BOUNDS.visibleMs + COUNT_AGE_MS,
    );
    if (pending < overdue.length / 2) {
      throw new Error(
        `the pending count is ${pending}, but ${overdue.length} submissions are due to be counted`,
      );
    }
  }

  private checkState({ row, cancelAsked }: Submitted, { kind, state }: CallAnswer): void {
    if (kind === "gone" && !cancelAsked) {
      throw new Error(`${row.id} was accepted but is reported as unknown`);
    }
    if (state === SUBMISSION_STATE.COMPLETED && !areItemsDone(this.doneItems, row)) {
      throw new Error(`${row.id} is reported as completed before its items are done`);
    }
    if (state === SUBMISSION_STATE.CANCELLED && !cancelAsked) {
      throw new Error(`${row.id} is reported as cancelled although no cancel was sent`);
    }
  }
}
