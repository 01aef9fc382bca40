import { START_RESULT, echoedTarget, type Effect, type Event } from "../../src/index.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

type WorkerOrder = Extract<Effect, { type: "worker/start" | "worker/stop" | "worker/look" }>;
type StartOrder = Extract<WorkerOrder, { type: "worker/start" }>;

/** As in the adapter: connections per worker, and how long a start order waits for a free one. */
const CONNECTIONS = 4;
const ORDER_TIMEOUT_MS = 600;

interface QueuedStart {
  readonly node: SiteNode;
  readonly order: StartOrder;
  readonly queuedAtMs: number;
}

/** Start orders of a node for one worker. */
interface OrderQueue {
  inFlight: number;
  readonly waiting: QueuedStart[];
}

/**
 * Simulated site with one node that has limited processor time and a few connections to each worker.
 * A connection becomes free once the node has handled the answer to its order. A start order that
 * has waited too long for a connection is not sent.
 */
export class ConnectionLimitedSite extends WorkSite {
  /** Start orders that were not sent because no connection became free in time. */
  delayedStarts = 0;
  private readonly queues = new Map<string, OrderQueue>();

  constructor(seed: number, workersPerPool: number, cores: number) {
    super(seed, 0, workersPerPool);
    this.eventCostFactor = 1;
    this.addNode("n0", cores);
    this.onEventHandled = (event) => {
      if (event.type === "worker/startAnswered" && event.result !== START_RESULT.DELAYED) {
        const queue = this.queueOf(event.worker);
        queue.inFlight -= 1;
        this.sendNext(queue);
      }
    };
  }

  /** Number of items that run now. */
  get running(): number {
    return [...this.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0);
  }

  protected override sendOrder(node: SiteNode, order: WorkerOrder, sentAtMs: number): void {
    if (order.type !== "worker/start") {
      super.sendOrder(node, order, sentAtMs);
      return;
    }
    const queue = this.queueOf(order.worker);
    queue.waiting.push({ node, order, queuedAtMs: this.nowMs });
    this.sendNext(queue);
  }

  private queueOf(worker: string): OrderQueue {
    let queue = this.queues.get(worker);
    if (queue === undefined) {
      queue = { inFlight: 0, waiting: [] };
      this.queues.set(worker, queue);
    }
    return queue;
  }

  private sendNext(queue: OrderQueue): void {
    while (queue.inFlight < CONNECTIONS) {
      const next = queue.waiting.shift();
      if (next === undefined) {
        return;
      }
      const { node, order, queuedAtMs } = next;
      if (this.nowMs - queuedAtMs > ORDER_TIMEOUT_MS) {
        this.delayedStarts += 1;
        this.answerLater(node, 0, delayedAnswer(order));
      } else {
        queue.inFlight += 1;
        super.sendOrder(node, order, this.clockOf(node));
      }
    }
  }
}

const delayedAnswer = (order: StartOrder): Event => ({
  type: "worker/startAnswered",
  ...echoedTarget(order),
  item: order.item,
  run: order.run,
  result: START_RESULT.DELAYED,
  reason: "no connection became free in time",
  clockMs: null,
  atMs: 0,
});
