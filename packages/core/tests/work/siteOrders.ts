import { END_KIND, targetIn, type Effect, type Event, type ItemKey } from "../../src/index.js";
import type { MemoryWorker } from "./memoryWorker.js";
import { SiteStore, type SiteNode } from "./siteStore.js";

type WorkerOrder = Extract<Effect, { type: "worker/start" | "worker/stop" | "worker/look" }>;

/** How long a node waits for answers of workers, beside what it lets them wait. */
const ANSWER_TIMEOUT_MS = {
  "worker/start": 600,
  "worker/stop": 600,
  "worker/look": 1_000,
} as const;

/** An order to an address where nobody is, is tried again so often and for so long. */
const KNOCK_MS = 100;
const HANG_MS = 5_000;

/** A worker that waits for an end looks for one so often. */
const WAIT_STEP_MS = 20;

/** A start that is to come late comes after all repeats of it. */
const LATE_START_MS = 3_000;

/** @returns What a node hears if nobody answers in time, or another tenant of the address does. */
const failureOf = (order: WorkerOrder, wrongLife = false): Event => {
  const target = targetIn(order);
  switch (order.type) {
    case "worker/look":
      return {
        type: "worker/lookFailed",
        ...target,
        wrongLife,
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
        result: wrongLife ? "wrongLife" : "unanswered",
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
        wrongLife,
        clockMs: null,
        atMs: 0,
      };
    }
  }
};

/** The workers as nodes reach them: slow, lossy, dark or late as the day has it. */
export abstract class SiteOrders extends SiteStore {
  readonly cutWorkers = new Map<string, number>();
  failPercent = 0;
  /** Run time of every item; drawn for each where it is null. */
  workMs: number | null = null;
  /** How much run times that are drawn differ. */
  workSpreadMs = 900;
  /** Starts that were sent to workers that had gone. */
  startsOnGoneWorkers = 0;
  /** So many of the next starts have no answer, and are carried out at once, or late. */
  startsToLose = 0;
  lostStartsAreLate = false;
  /** Orders go to an address: who is there by then, or comes soon, gets them. */
  ordersFindTenants = false;
  /** Addresses that workers of no concern to the site have taken. */
  readonly strangers = new Set<string>();
  /** Share of answers that are read late, in percent. */
  slowPercent = 0;
  /** Looks wait for an end as long as they ask for, and list what there is by then. */
  looksWait = false;

  /** Delivers an order: at once, late, or not at all; its answer may be lost too. */
  protected sendOrder(node: SiteNode, order: WorkerOrder, sentAtMs: number): void {
    const cut = this.nowMs < (this.cutWorkers.get(order.worker) ?? 0);
    const chosen = order.type === "worker/start" && this.startsToLose > 0;
    this.startsToLose -= chosen ? 1 : 0;
    const late =
      order.type !== "worker/look" &&
      ((chosen && this.lostStartsAreLate) || this.chance(this.faults.latePercent));
    const lost = cut || late || chosen || this.chance(this.faults.lostPercent);
    const target = this.workers.get(order.worker);
    if (!cut) {
      this.at(this.deliveryMs(late, chosen), () => {
        if (this.ordersFindTenants && !late) {
          this.reach(node, order, sentAtMs, lost);
        } else {
          this.deliver(node, order, sentAtMs, target, lost);
        }
      });
    }
    if (lost) {
      this.answerLater(node, this.timeoutMs(order), failureOf(order));
    }
  }

  /** How long a node waits for the answer to an order. */
  private timeoutMs(order: WorkerOrder): number {
    const waitMs = this.looksWait && order.type === "worker/look" ? order.waitMs : 0;
    return ANSWER_TIMEOUT_MS[order.type] + waitMs;
  }

  private deliveryMs(late: boolean, chosen: boolean): number {
    if (!late) {
      return 1 + this.pick(5);
    }
    return chosen ? LATE_START_MS : 1_000 + this.pick(6_000);
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
      this.startsOnGoneWorkers += order.type === "worker/start" ? 1 : 0;
      this.answerLater(node, this.timeoutMs(order), failureOf(order));
      return;
    }
    this.whenObeyed(worker, order, sentAtMs, (answer) => {
      if (!lost) {
        this.answerLater(node, 1 + this.pick(5), answer);
      }
    });
  }

  /** Obeys an order; the answer to a look may wait for an end. */
  private whenObeyed(
    worker: MemoryWorker,
    order: WorkerOrder,
    sentAtMs: number,
    answered: (answer: Event) => void,
  ): void {
    const answer = this.obey(worker, order, sentAtMs);
    const waits = this.looksWait && answer.type === "worker/looked" && answer.ends.length === 0;
    if (!waits || order.type !== "worker/look" || order.waitMs === 0) {
      answered(answer);
      return;
    }
    // What it asks for is done once, as it comes; only the lists are made as it is answered.
    const waitMs = Math.max(0, order.waitMs - WAIT_STEP_MS);
    const left = { ...order, notedSequence: 0, untilClockMs: null, waitMs };
    this.at(Math.min(order.waitMs, WAIT_STEP_MS), () => {
      // A worker that has gone meanwhile says nothing.
      if (this.workers.get(order.worker) === worker) {
        this.whenObeyed(worker, left, sentAtMs, answered);
      }
    });
  }

  /** Hands an order to whoever is at its address, or comes there while the order hangs. */
  private reach(node: SiteNode, order: WorkerOrder, sentAtMs: number, lost: boolean): void {
    const hangsUntilMs = this.nowMs + HANG_MS;
    let waits = !lost;
    const tell = (delayMs: number, event: Event): void => {
      const { life } = node;
      this.at(delayMs, () => {
        if (waits && node.life === life) {
          waits = false;
          this.handle(node, event);
        }
      });
    };
    const knock = (): void => {
      const tenant = this.tenantOf(order.address);
      if (tenant !== null) {
        const answered = (answer: Event): void => {
          const slow = this.chance(this.slowPercent) ? this.pick(ANSWER_TIMEOUT_MS[order.type]) : 0;
          tell(1 + this.pick(5) + slow, answer);
        };
        if (tenant !== "stranger" && tenant.report.id === order.worker) {
          this.whenObeyed(tenant, order, sentAtMs, answered);
        } else {
          answered(failureOf(order, true));
        }
      } else if (this.nowMs < hangsUntilMs) {
        this.at(KNOCK_MS, knock);
      }
    };
    tell(this.timeoutMs(order), failureOf(order));
    knock();
  }

  private tenantOf(address: string): MemoryWorker | "stranger" | null {
    if (this.strangers.has(address)) {
      return "stranger";
    }
    return [...this.workers.values()].find(({ report }) => report.address === address) ?? null;
  }

  /** Run times of items, drawn or by what they are; in ms. */
  protected durationMs: (item: ItemKey) => number = () =>
    this.workMs ?? 200 + this.pick(this.workSpreadMs);

  protected obey(worker: MemoryWorker, order: WorkerOrder, sentAtMs: number): Event {
    const clockMs = worker.clockMs(this.nowMs);
    const target = targetIn(order);
    if (order.type === "worker/start") {
      const how = this.chance(this.failPercent) ? END_KIND.FAILED : END_KIND.DONE;
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
        wrongLife: false,
        clockMs,
        atMs: 0,
      };
    }
    const seen = worker.look(order, this.nowMs);
    const seenBornWallMs = worker.report.bornWallMs;
    return seen === null
      ? {
          type: "worker/lookFailed",
          ...target,
          wrongLife: false,
          reason: "fence",
          atMs: 0,
        }
      : {
          type: "worker/looked",
          ...target,
          sentAtMs,
          clockMs,
          seenBornWallMs,
          ...seen,
          endsComplete: true,
          atMs: 0,
        };
  }
}
