import { poolId, queueId, teamId } from "@heatherferry/common";
import {
  ANSWER_KIND,
  CALL_KIND,
  END_KIND,
  storeVersion,
  type CallAnswer,
  type Catalog,
  type Effect,
  type EndLine,
  type ItemKey,
  type SubmissionId,
  type WorkSpec,
} from "../../src/index.js";
import { TARGET, type CallerOutcome } from "./admissionOutcomes.js";
import { withoutFigures, withoutRefusals, type CommitEffect } from "./admissionRows.js";
import { partsOf, type MemoryWorker, type WorkerRun } from "./memoryWorker.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

const POOL = "mills";

const NO_CEILING = { cpuMilli: 0, memoryMb: 0, gpus: 0 };

/** How callers of the platform retry. */
const CALLER = {
  RETRIES: 4,
  /** A caller sends again under the same id after this time without an answer. */
  TIMEOUT_MS: 3_000,
  REPEAT_MS: 50,
  /** Longest delay on the network. */
  NETWORK_MS: 20,
} as const;

const MS_PER_S = 1_000;

const catalogOf = (teams: Readonly<Record<string, number>>): Catalog => ({
  revision: 2,
  queues: [
    {
      id: queueId(POOL),
      callerHost: "site.example",
      pathPrefix: `/${POOL}/`,
      pool: poolId(POOL),
      priority: 0,
      maxAttempts: 3,
      stretchFactor: TARGET.STRETCH_FACTOR,
      targetDurationMs: TARGET.DURATION_MS,
      openToAll: false,
    },
  ],
  pools: [{ id: poolId(POOL), standby: false }],
  teams: Object.entries(teams).map(([name, weight]) => ({
    id: teamId(name),
    keys: [name],
    weight,
    ceiling: NO_CEILING,
  })),
  maxBodyBytes: 100_000,
});

/** A site of one pool whose callers retry as those of the platform do. */
export class AdmissionSite extends WorkSite {
  readonly outcomes = new Map<string, CallerOutcome>();
  /** Whether the owner's figures reach other nodes. */
  publishesFigures = true;
  /** Until when answers of the store to hand-ins are lost although they are stored. */
  handInAnswersLostUntilMs = 0;
  /** Whether nodes tell the owner which submissions they have refused. */
  tellsRefusals = true;
  /** Whether callers reach the owner and no other node. */
  callsOwner = false;
  /** Until when the store receives nothing from any node, which gets no answers. */
  cutUntilMs = 0;
  private readonly outcomeOfCall = new Map<string, CallerOutcome>();

  /** @param teams - The weight of each team. */
  constructor(seed: number, hosts: number, teams: Readonly<Record<string, number>>) {
    super(seed, 4, 0);
    this.store.put("catalog", {
      type: "catalog",
      version: storeVersion(0),
      catalog: catalogOf(teams),
    });
    for (let index = 0; index < hosts; index += 1) {
      this.addHost(`${POOL}-${index}`, POOL);
    }
  }

  /** Has a caller hand work in and retry until it is accepted or gives up. */
  handIn(id: string, team: string, work: WorkSpec): CallerOutcome {
    const outcome: CallerOutcome = {
      id,
      team,
      work,
      firstSentMs: this.nowMs,
      attempts: 0,
      refused: [],
      uncertain: false,
      acceptedAtMs: null,
      startedAtMs: null,
      itemsDone: 0,
      completedAtMs: null,
    };
    this.outcomes.set(id, outcome);
    this.submissionRows.set(id, {
      id: id as SubmissionId,
      queue: queueId(POOL),
      pool: poolId(POOL),
      team: teamId(team),
      acceptedWallMs: 0,
      work,
    });
    this.send(outcome);
    return outcome;
  }

  /** Returns the index of the node that owns the work, or -1. */
  ownerIndex(): number {
    return this.nodes.findIndex(({ up, state }) => up && state.work?.owned?.active === true);
  }

  /** Returns the submissions of a team. */
  outcomesOf(team: string): readonly CallerOutcome[] {
    return [...this.outcomes.values()].filter((outcome) => outcome.team === team);
  }

  private send(outcome: CallerOutcome): void {
    if (outcome.attempts > CALLER.RETRIES || outcome.acceptedAtMs !== null) {
      return;
    }
    outcome.attempts += 1;
    const fronts = this.fronts();
    const node = fronts[this.randomBelow(fronts.length)];
    const callId = `handIn ${outcome.id} ${outcome.attempts}`;
    this.outcomeOfCall.set(callId, outcome);
    this.schedule(CALLER.TIMEOUT_MS, () => {
      if (this.outcomeOfCall.delete(callId)) {
        outcome.uncertain = true;
        this.send(outcome);
      }
    });
    if (node?.up === true) {
      this.sendCall(node, callId, outcome);
    }
  }

  /**
   * Sends a submission once more, as the network may repeat it.
   *
   * @returns The id of the call.
   */
  repeat(outcome: CallerOutcome, node = this.fronts()[0]): string {
    const callId = `repeat ${outcome.id}`;
    if (node !== undefined) {
      this.sendCall(node, callId, outcome);
    }
    return callId;
  }

  /** Returns the nodes that callers reach. */
  private fronts(): readonly SiteNode[] {
    return this.nodes.filter(({ state }) => (state.work?.owned == null) !== this.callsOwner);
  }

  private sendCall(node: SiteNode, callId: string, { id, team, work }: CallerOutcome): void {
    this.handle(node, {
      type: "call/arrived",
      callId,
      kind: CALL_KIND.SUBMIT,
      callerHost: "site.example",
      path: `/${POOL}/${id}`,
      key: team,
      waitMs: CALLER.TIMEOUT_MS,
      bodyBytes: 100,
      work,
      problem: null,
      atMs: 0,
    });
  }

  protected override answered(answer: CallAnswer): void {
    super.answered(answer);
    const outcome = this.outcomeOfCall.get(answer.callId);
    if (outcome === undefined || !this.outcomeOfCall.delete(answer.callId)) {
      return;
    }
    if (answer.kind === ANSWER_KIND.ACCEPTED) {
      outcome.acceptedAtMs ??= this.nowMs;
      return;
    }
    const refused = answer.kind === ANSWER_KIND.UNAVAILABLE;
    const waitMs = refused
      ? MS_PER_S * Math.ceil((answer.retryAfterMs ?? 0) / MS_PER_S)
      : CALLER.REPEAT_MS;
    outcome.uncertain ||= !refused;
    if (refused) {
      outcome.refused.push({ atMs: this.nowMs, returnAtMs: this.nowMs + waitMs });
    }
    this.schedule(waitMs + this.randomBelow(CALLER.NETWORK_MS), () => {
      this.send(outcome);
    });
  }

  override started(worker: MemoryWorker, run: WorkerRun): void {
    super.started(worker, run);
    const outcome = this.outcomes.get(partsOf(run.item)[0]);
    if (outcome !== undefined) {
      outcome.startedAtMs ??= this.nowMs;
    }
  }

  override ended(end: EndLine): void {
    super.ended(end);
    const outcome = this.outcomes.get(partsOf(end.item)[0]);
    if (outcome === undefined || end.kind !== END_KIND.DONE) {
      return;
    }
    outcome.itemsDone += 1;
    const items = outcome.work.steps.reduce((sum, { count }) => sum + count, 0);
    if (outcome.itemsDone === items) {
      outcome.completedAtMs = this.nowMs;
    }
  }

  /** Checks no ceiling, since teams have none here. */
  protected override checkRunStart(worker: MemoryWorker, run: WorkerRun): void {
    for (const other of this.workers.values()) {
      other.advance(this.nowMs);
      if (other.runs.has(run.item)) {
        throw new Error(`${run.item} runs on ${worker.report.id} and ${other.report.id}`);
      }
    }
    this.checkCapacity(worker, run);
  }

  protected override durationMs = (item: ItemKey): number => {
    const [id, , step] = partsOf(item);
    return this.submissionRows.get(id)?.work.steps[step]?.estimateMs ?? 0;
  };

  protected override commit(node: SiteNode, commit: CommitEffect, sentAtMs: number): void {
    if (this.nowMs < this.cutUntilMs) {
      this.answerUnanswered(node, commit.commitId, sentAtMs);
      return;
    }
    const isHandIn = commit.writes.some(({ type }) => type === "handIn");
    if (isHandIn && this.nowMs < this.handInAnswersLostUntilMs) {
      this.store.commit(commit);
      this.answerUnanswered(node, commit.commitId, sentAtMs);
      return;
    }
    const stored = this.publishesFigures ? commit : withoutFigures(commit);
    super.commit(node, this.tellsRefusals ? stored : withoutRefusals(stored), sentAtMs);
  }

  protected override scan(
    node: SiteNode,
    effect: Extract<Effect, { type: "store/scan" }>,
    sentAtMs: number,
  ): void {
    if (this.nowMs < this.cutUntilMs) {
      const { scan } = effect;
      this.answerLater(node, MS_PER_S, { type: "store/scanFailed", scan, reason: "cut", atMs: 0 });
    } else {
      super.scan(node, effect, sentAtMs);
    }
  }

  protected override lookUp(node: SiteNode, callId: string, id: SubmissionId): void {
    if (this.nowMs < this.cutUntilMs) {
      const failed = { type: "store/lookUpFailed" as const, callId, reason: "cut", atMs: 0 };
      this.answerLater(node, MS_PER_S, failed);
    } else {
      super.lookUp(node, callId, id);
    }
  }

  private answerUnanswered(node: SiteNode, commitId: string, sentAtMs: number): void {
    this.answerLater(node, MS_PER_S, {
      type: "store/commitSettled",
      commitId,
      sentAtMs,
      version: null,
      rows: [],
      reason: "lost",
      result: "unanswered",
      atMs: 0,
    });
  }
}
