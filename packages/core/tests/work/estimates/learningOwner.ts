import type {
  EndKind,
  EndLine,
  ItemKey,
  RunTimeEstimates,
  RunTimesRow,
  Submission,
  SubmissionId,
} from "../../../src/index.js";
import { OwnerNode, reportOf, type StartEffect } from "../ownerNode.js";
import { stepOf, workOf } from "../workSpecs.js";

export const FIRST_INCARNATION = { startWallMs: 100 };

/** What callers estimate. */
export const ESTIMATE_MS = 3_000;

/** How long runs take. */
export const RUN_MS = 600;

export const idOf = (number: number): string => number.toString(16).padStart(16, "0");

/** An owner with one worker, whose answers to polls the test gives. */
export class LearningOwner extends OwnerNode {
  private sequence = 0;
  private ends: EndLine[] = [];
  private submissions = 0;

  begin(): this {
    this.register(reportOf("w", 100));
    this.poll();
    return this;
  }

  get estimates(): RunTimeEstimates {
    const estimates = this.state.work?.owned?.runTimes;
    if (estimates === undefined) {
      throw new Error("the node is not the owner; let it acquire ownership first");
    }
    return estimates;
  }

  /** Submits one item and has it run to its end. */
  runOne(how: EndKind = "done", checkpoint = "", forMs = RUN_MS): void {
    const start = this.startOne();
    this.answerStart(start, "started");
    this.run(forMs);
    this.end(start, how, checkpoint);
  }

  startOne(): StartEffect {
    const id = idOf((this.submissions += 1));
    const before = this.starts.length;
    const work = workOf([{ ...stepOf(1, 500, []), estimateMs: ESTIMATE_MS }]);
    this.submit(id, { ...work, payload: id });
    return this.nextStart(before);
  }

  /** Runs until one more start has been ordered. */
  nextStart(before: number): StartEffect {
    for (let waits = 0; waits < 100 && this.starts.length === before; waits += 1) {
      this.run(20);
    }
    const start = this.starts[before];
    if (start === undefined) {
      throw new Error("no start was ordered");
    }
    return start;
  }

  end({ item, run }: StartEffect, kind: EndKind, checkpoint = ""): void {
    this.endRun(item, run, kind, checkpoint);
  }

  endRun(item: ItemKey, run: number, kind: EndKind, checkpoint = ""): void {
    this.sequence += 1;
    this.ends = [{ sequence: this.sequence, item, run, kind, checkpoint }];
    this.poll();
  }

  poll(): void {
    this.answerPoll(this.nextPollOf("w"), { ...FIRST_INCARNATION, ends: this.ends });
  }

  submission(number: number): Submission | undefined {
    return this.state.work?.owned?.submissions.get(idOf(number) as SubmissionId);
  }

  writtenRunTimes(): RunTimesRow[] {
    return this.writtenRows.flatMap((row) => (row.type === "runTimes" ? [row.row] : []));
  }

  get observedEnds(): number {
    return this.estimates
      .summary(this.nowMs)
      .filter(({ level }) => level === "queue")
      .reduce((sum, { samples }) => sum + samples, 0);
  }
}
