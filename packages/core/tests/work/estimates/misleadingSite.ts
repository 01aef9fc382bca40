import { poolId, queueId, teamId } from "@heatherferry/common";
import {
  RunTimeEstimates,
  storeVersion,
  submissionId,
  SUBMISSION_STATE,
  type Catalog,
  type Effect,
  type Event,
  type ItemKey,
} from "../../../src/index.js";
import { partsOf } from "../memoryWorker.js";
import { CATALOG } from "../siteFixtures.js";
import type { SiteNode } from "../siteStore.js";
import { stepOf, workOf } from "../workSpecs.js";
import { WorkSite } from "../workSite.js";

/** Queues of one pool; what is submitted to one takes about as long as all of it. */
const USUAL_MS = { brief: 500, lengthy: 3_000 } as const;

type QueueName = keyof typeof USUAL_MS;

const TARGET = { STRETCH_FACTOR: 2, DURATION_MS: 500 } as const;

const POOL = "mills";

const SITE_CATALOG: Catalog = {
  ...CATALOG,
  revision: 2,
  queues: Object.keys(USUAL_MS).map((name) => ({
    id: queueId(name),
    callerHost: "site.example",
    pathPrefix: `/${name}/`,
    pool: poolId(POOL),
    priority: 0,
    maxAttempts: 3,
    stretchFactor: TARGET.STRETCH_FACTOR,
    targetDurationMs: TARGET.DURATION_MS,
    openToAll: false,
  })),
  teams: CATALOG.teams.map((team) => ({ ...team, weight: 1_000 })),
};

/** How far callers' estimates are off at the most, as a factor both ways. */
export const ESTIMATE_ERROR = { NONE: 1, MISLEADING: 5 } as const;

/** Estimates that forget at once what they could learn. */
class ForgetfulEstimates extends RunTimeEstimates {
  override observe(): void {
    // The caller's estimate stays the only figure.
  }
}

interface Outcome {
  readonly submittedAtMs: number;
  readonly targetMs: number;
  completedAtMs: number | null;
}

export interface LoadOptions {
  readonly seed: number;
  readonly learns: boolean;
  /** How far estimates are off at the most, as a factor both ways. */
  readonly estimateError: number;
}

const BURST = { EVERY_MS: 15_000, LENGTH_MS: 6_000, SUBMISSIONS: 100, OTHERWISE: 25 } as const;

/** Time during which the owner gets to know the work, and end of the submissions. */
const COUNTED_FROM_MS = 32_000;
const UNTIL_MS = 122_000;

/**
 * A site of one pool for twelve items at once, whose callers submit short and long work in bursts of
 * more than it can take.
 */
export class MisleadingSite extends WorkSite {
  private readonly outcomes = new Map<string, Outcome>();
  private readonly durationsMs = new Map<string, number>();
  private submissions = 0;

  constructor(private readonly options: LoadOptions) {
    super(options.seed, 0, 3);
    this.pollsWait = true;
    this.store.put("catalog", {
      type: "catalog",
      version: storeVersion(0),
      catalog: SITE_CATALOG,
    });
    this.addNode("n0");
  }

  /** Plays the load and returns the share of the submissions that were completed in time. */
  play(): number {
    this.run(2_000);
    for (let fromMs = 0; fromMs < UNTIL_MS; fromMs += BURST.EVERY_MS) {
      this.scheduleEvenly(fromMs, BURST.LENGTH_MS, BURST.SUBMISSIONS);
      this.scheduleEvenly(
        fromMs + BURST.LENGTH_MS,
        BURST.EVERY_MS - BURST.LENGTH_MS,
        BURST.OTHERWISE,
      );
    }
    this.run(UNTIL_MS + 60_000);
    const counted = [...this.outcomes.values()].filter(
      ({ submittedAtMs }) => submittedAtMs >= COUNTED_FROM_MS,
    );
    const inTime = counted.filter(
      ({ submittedAtMs, targetMs, completedAtMs }) =>
        completedAtMs !== null && completedAtMs - submittedAtMs <= targetMs,
    );
    return inTime.length / counted.length;
  }

  protected override handle(node: SiteNode, event: Event): void {
    super.handle(node, event);
    const owned: { runTimes: RunTimeEstimates } | null | undefined = node.state.work?.owned;
    if (!this.options.learns && owned != null && !(owned.runTimes instanceof ForgetfulEstimates)) {
      owned.runTimes = new ForgetfulEstimates();
    }
  }

  protected override durationMs = (item: ItemKey): number =>
    this.durationsMs.get(partsOf(item)[0]) ?? 0;

  protected override commit(
    node: SiteNode,
    commit: Extract<Effect, { type: "store/commit" }>,
    sentAtMs: number,
  ): void {
    const before = this.store.version;
    super.commit(node, commit, sentAtMs);
    for (const row of this.store.version === before ? [] : commit.writes) {
      const outcome = row.type === "progress" ? this.outcomes.get(row.progress.id) : undefined;
      if (
        row.type === "progress" &&
        outcome !== undefined &&
        row.progress.state === SUBMISSION_STATE.COMPLETED
      ) {
        outcome.completedAtMs ??= this.nowMs;
      }
    }
  }

  private scheduleEvenly(fromMs: number, lengthMs: number, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.schedule(fromMs + (index * lengthMs) / count, () => {
        this.submitNext();
      });
    }
  }

  /** Returns a factor between the inverse of a largest one and that one. */
  private randomFactor(largest: number): number {
    return largest ** (this.randomBelow(2_001) / 1_000 - 1);
  }

  private submitNext(): void {
    this.submissions += 1;
    const id = this.submissions.toString(16).padStart(16, "0");
    const queue: QueueName = this.submissions % 4 === 0 ? "lengthy" : "brief";
    const durationMs = USUAL_MS[queue] * this.randomFactor(1.5);
    const estimateMs = durationMs * this.randomFactor(this.options.estimateError);
    this.durationsMs.set(id, durationMs);
    this.outcomes.set(id, {
      submittedAtMs: this.nowMs,
      targetMs: TARGET.DURATION_MS + TARGET.STRETCH_FACTOR * durationMs,
      completedAtMs: null,
    });
    const work = { ...workOf([{ ...stepOf(1, 1_000, []), estimateMs }]), payload: id };
    this.submissionRows.set(id, {
      id: submissionId(id),
      queue: queueId(queue),
      pool: poolId(POOL),
      team: teamId("lots"),
      acceptedWallMs: 0,
      work,
    });
    this.submit(id, queue, work, 0);
  }
}
