import { END_KIND, echoedTarget, type Effect, type Event, type ItemKey } from "../../src/index.js";
import type { MemoryWorker } from "./memoryWorker.js";
import { SiteStore, type SiteNode } from "./siteStore.js";

type WorkerOrder = Extract<Effect, { type: "worker/start" | "worker/stop" | "worker/look" }>;

/** Timeouts of a node for answers of workers, without the time that a poll may wait. */
const ANSWER_TIMEOUT_MS = {
  "worker/start": 600,
  "worker/stop": 600,
  "worker/look": 1_000,
} as const;

/** An order to an address where no process listens is retried at this interval. */
const CONNECT_RETRY_MS = 100;

/** An order is retried for this long. */
const CONNECT_TIMEOUT_MS = 5_000;

/** Interval at which a worker with a waiting poll checks for a run end. */
const RUN_END_CHECK_MS = 20;

/** Delay of a start that is delivered late, after all repeats of it. */
const LATE_START_MS = 3_000;

/**
 * @param wrongIncarnation - Whether another worker at the address answered.
 * @returns The event for an order that its worker has not answered.
 */
const failureOf = (order: WorkerOrder, wrongIncarnation = false): Event => {
  const target = echoedTarget(order);
  switch (order.type) {
    case "worker/look":
      return {
        type: "worker/lookFailed",
        ...target,
        wrongIncarnation,
        reason: "no answer",
        atMs: 0,
      };
    case "worker/start": {
      const { item, run } = order;
      return {
        type: "worker/startAnswered",
        ...target,
        item,
        run,
        result: wrongIncarnation ? "wrongLife" : "unanswered",
        reason: "no answer",
        clockMs: null,
        atMs: 0,
      };
    }
    case "worker/stop": {
      const { item, run } = order;
      return {
        type: "worker/stopAnswered",
        ...target,
        item,
        run,
        settled: false,
        wrongIncarnation,
        clockMs: null,
        atMs: 0,
      };
    }
  }
};

/** Delivers orders and polls to simulated workers, with the delays and losses of the scenario. */
export abstract class SiteOrders extends SiteStore {
  /** Workers that orders do not reach until the given time. */
  readonly unreachableWorkers = new Map<string, number>();
  /** Percentage of runs that fail. */
  failingRunPercent = 0;
  /** Duration of every run; null to draw each at random. */
  runDurationMs: number | null = null;
  /** Range of durations that are drawn. */
  runDurationSpreadMs = 900;
  /** Starts that were sent to workers that no longer run. */
  startsOnRemovedWorkers = 0;
  /** Number of next starts that are carried out, at once or late, but not answered. */
  startsToLose = 0;
  lostStartsAreLate = false;
  /** Whether an order goes to any process at its address, also one that starts there soon. */
  routesByAddress = false;
  /** Addresses at which foreign workers listen. */
  readonly foreignAddresses = new Set<string>();
  /**
   * Whether what grants a lease or acknowledges ends reaches only the incarnation that it is meant
   * for, as it does over connections on which this one has answered.
   */
  bindsCalls = false;
  /** Percentage of answers that are read late. */
  slowAnswerPercent = 0;
  /** Whether polls wait for a run end for as long as they ask, as those of real workers do. */
  pollsWait = false;

  /** Delivers an order at once, late or not at all; its answer may be lost, too. */
  protected sendOrder(node: SiteNode, order: WorkerOrder, sentAtMs: number): void {
    const unreachable = this.nowMs < (this.unreachableWorkers.get(order.worker) ?? 0);
    const losesAnswer = order.type === "worker/start" && this.startsToLose > 0;
    this.startsToLose -= losesAnswer ? 1 : 0;
    const late =
      order.type !== "worker/look" &&
      ((losesAnswer && this.lostStartsAreLate) || this.randomChance(this.faults.latePercent));
    const lost = unreachable || late || losesAnswer || this.randomChance(this.faults.lostPercent);
    const target = this.workers.get(order.worker);
    if (!unreachable) {
      this.schedule(this.deliveryMs(late, losesAnswer), () => {
        if (this.routesByAddress && !late) {
          this.sendByAddress(node, order, sentAtMs, lost);
        } else {
          this.deliver(node, order, sentAtMs, target, lost);
        }
      });
    }
    if (lost) {
      this.answerLater(node, this.timeoutMs(order), failureOf(order));
    }
  }

  private timeoutMs(order: WorkerOrder): number {
    const waitMs = this.pollsWait && order.type === "worker/look" ? order.waitMs : 0;
    return ANSWER_TIMEOUT_MS[order.type] + waitMs;
  }

  private deliveryMs(late: boolean, losesAnswer: boolean): number {
    if (!late) {
      return 1 + this.randomBelow(5);
    }
    return losesAnswer ? LATE_START_MS : 1_000 + this.randomBelow(6_000);
  }

  protected deliver(
    node: SiteNode,
    order: WorkerOrder,
    sentAtMs: number,
    target: MemoryWorker | undefined,
    lost: boolean,
  ): void {
    const worker = this.workers.get(order.worker);
    if (worker === undefined || worker !== target) {
      this.startsOnRemovedWorkers += order.type === "worker/start" ? 1 : 0;
      this.answerLater(node, this.timeoutMs(order), failureOf(order));
      return;
    }
    this.whenCarriedOut(worker, order, sentAtMs, (answer) => {
      if (!lost) {
        this.answerLater(node, 1 + this.randomBelow(5), answer);
      }
    });
  }

  /** Carries out an order. The answer to a poll may wait for a run end. */
  private whenCarriedOut(
    worker: MemoryWorker,
    order: WorkerOrder,
    sentAtMs: number,
    answered: (answer: Event) => void,
  ): void {
    const answer = this.carryOutOrder(worker, order, sentAtMs);
    const waits = this.pollsWait && answer.type === "worker/looked" && answer.ends.length === 0;
    if (!waits || order.type !== "worker/look" || order.waitMs === 0) {
      answered(answer);
      return;
    }
    // The requests of a poll are carried out once, on arrival; its lists are made for the answer.
    const waitMs = Math.max(0, order.waitMs - RUN_END_CHECK_MS);
    const waiting = { ...order, acknowledgedSequence: 0, untilClockMs: null, waitMs };
    this.schedule(Math.min(order.waitMs, RUN_END_CHECK_MS), () => {
      // A worker that was removed meanwhile does not answer.
      if (this.workers.get(order.worker) === worker) {
        this.whenCarriedOut(worker, waiting, sentAtMs, answered);
      }
    });
  }

  /** Delivers an order to the process at its address, or the next one that starts there in time. */
  private sendByAddress(node: SiteNode, order: WorkerOrder, sentAtMs: number, lost: boolean): void {
    const retriesUntilMs = this.nowMs + CONNECT_TIMEOUT_MS;
    let waits = !lost;
    const answerOnce = (delayMs: number, event: Event): void => {
      const { incarnation } = node;
      this.schedule(delayMs, () => {
        if (waits && node.incarnation === incarnation) {
          waits = false;
          this.handle(node, event);
        }
      });
    };
    const tryDeliver = (): void => {
      const receiver = this.workerAt(order.address);
      if (receiver !== null) {
        const answered = (answer: Event): void => {
          const extraDelayMs = this.randomChance(this.slowAnswerPercent)
            ? this.randomBelow(ANSWER_TIMEOUT_MS[order.type])
            : 0;
          answerOnce(1 + this.randomBelow(5) + extraDelayMs, answer);
        };
        if (receiver === "stranger" || receiver.report.id !== order.worker) {
          answered(failureOf(order, true));
        } else if (this.bindsCalls && receiver.report.startWallMs !== order.startWallMs) {
          this.probeInstead(receiver, order, sentAtMs, answered);
        } else {
          this.whenCarriedOut(receiver, order, sentAtMs, answered);
        }
      } else if (this.nowMs < retriesUntilMs) {
        this.schedule(CONNECT_RETRY_MS, tryDeliver);
      }
    };
    answerOnce(this.timeoutMs(order), failureOf(order));
    tryDeliver();
  }

  /** Delivers to another incarnation than the one that is meant what any of them may carry out. */
  private probeInstead(
    receiver: MemoryWorker,
    order: WorkerOrder,
    sentAtMs: number,
    answered: (answer: Event) => void,
  ): void {
    if (order.type === "worker/start") {
      answered({ ...failureOf(order), result: "notSent" } as Event);
    } else {
      const probe =
        order.type === "worker/look"
          ? { ...order, untilClockMs: null, acknowledgedSequence: 0, waitMs: 0 }
          : order;
      this.whenCarriedOut(receiver, probe, sentAtMs, answered);
    }
  }

  private workerAt(address: string): MemoryWorker | "stranger" | null {
    if (this.foreignAddresses.has(address)) {
      return "stranger";
    }
    return [...this.workers.values()].find(({ report }) => report.address === address) ?? null;
  }

  /** @returns The duration of the next run of an item. */
  protected durationMs: (item: ItemKey) => number = () =>
    this.runDurationMs ?? 200 + this.randomBelow(this.runDurationSpreadMs);

  protected carryOutOrder(worker: MemoryWorker, order: WorkerOrder, sentAtMs: number): Event {
    const clockMs = worker.clockMs(this.nowMs);
    const target = echoedTarget(order);
    if (order.type === "worker/start") {
      const how = this.randomChance(this.failingRunPercent) ? END_KIND.FAILED : END_KIND.DONE;
      const answer = worker.start(order, this.nowMs, this.durationMs(order.item), how);
      const { item, run } = order;
      return {
        type: "worker/startAnswered",
        ...target,
        item,
        run,
        ...answer,
        clockMs,
        atMs: 0,
      };
    }
    if (order.type === "worker/stop") {
      const settled = worker.stop(order, this.nowMs);
      const { item, run } = order;
      return {
        type: "worker/stopAnswered",
        ...target,
        item,
        run,
        settled,
        wrongIncarnation: false,
        clockMs,
        atMs: 0,
      };
    }
    const seen = worker.poll(order, this.nowMs);
    const reportedStartWallMs = worker.report.startWallMs;
    return seen === null
      ? {
          type: "worker/lookFailed",
          ...target,
          wrongIncarnation: false,
          reason: "fence",
          atMs: 0,
        }
      : {
          type: "worker/looked",
          ...target,
          sentAtMs,
          clockMs,
          reportedStartWallMs,
          ...seen,
          endsComplete: true,
          atMs: 0,
        };
  }
}
