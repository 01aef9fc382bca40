import { START_RESULT, targetIn, type Effect, type Event } from "../../src/index.js";
import type { SiteNode } from "./siteStore.js";
import { WorkSite } from "./workSite.js";

type WorkerOrder = Extract<Effect, { type: "worker/start" | "worker/stop" | "worker/look" }>;
type StartOrder = Extract<WorkerOrder, { type: "worker/start" }>;

/** As the adapter has it: connections to a worker, and how long a start waits for one. */
const CONNECTIONS = 4;
const ORDER_TIMEOUT_MS = 600;

interface WaitingStart {
  readonly node: SiteNode;
  readonly order: StartOrder;
  readonly askedAtMs: number;
}

/** The starts of one worker, as the node that orders them has them. */
interface Line {
  underWay: number;
  readonly waiting: WaitingStart[];
}

/**
 * One node with a processor, which has a few connections to each worker. A connection is free once
 * the node has come to the answer; a start that waited too long for one does not leave.
 */
export class BusySite extends WorkSite {
  /** Starts that did not leave in time. */
  heldUp = 0;
  private readonly lines = new Map<string, Line>();

  constructor(seed: number, workersPerPool: number, cores: number) {
    super(seed, 0, workersPerPool);
    this.addNode("n0", cores);
    this.eventTaken = (event) => {
      if (event.type === "worker/startAnswered" && event.result !== START_RESULT.HELD_UP) {
        const line = this.lineOf(event.worker);
        line.underWay -= 1;
        this.advance(line);
      }
    };
  }

  /** Items that run now. */
  get running(): number {
    return [...this.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0);
  }

  protected override sendOrder(node: SiteNode, order: WorkerOrder, sentAtMs: number): void {
    if (order.type !== "worker/start") {
      super.sendOrder(node, order, sentAtMs);
      return;
    }
    const line = this.lineOf(order.worker);
    line.waiting.push({ node, order, askedAtMs: this.nowMs });
    this.advance(line);
  }

  private lineOf(worker: string): Line {
    let line = this.lines.get(worker);
    if (line === undefined) {
      line = { underWay: 0, waiting: [] };
      this.lines.set(worker, line);
    }
    return line;
  }

  private advance(line: Line): void {
    while (line.underWay < CONNECTIONS) {
      const next = line.waiting.shift();
      if (next === undefined) {
        return;
      }
      const { node, order, askedAtMs } = next;
      if (this.nowMs - askedAtMs > ORDER_TIMEOUT_MS) {
        this.heldUp += 1;
        this.answerLater(node, 0, heldUp(order));
      } else {
        line.underWay += 1;
        super.sendOrder(node, order, this.clockOf(node));
      }
    }
  }
}

const heldUp = (order: StartOrder): Event => ({
  type: "worker/startAnswered",
  ...targetIn(order),
  item: order.item,
  run: order.run,
  result: START_RESULT.HELD_UP,
  reason: "no connection was free in time",
  clockMs: null,
  atMs: 0,
});
