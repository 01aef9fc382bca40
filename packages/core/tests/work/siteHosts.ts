import { hostId, poolId, type HostId, type PoolId } from "@heatherferry/common";
import {
  HOST_ORDER_RESULT,
  workerId,
  type Effect,
  type HostListing,
  type HostOrderResult,
} from "../../src/index.js";
import { BOUNDS, STANDBY } from "./siteFixtures.js";
import { SiteWorkers, type MemoryHost } from "./siteWorkers.js";
import type { SiteNode } from "./siteStore.js";

type HostOrder = Extract<Effect, { type: "power/move" | "power/upkeep" }>;

/** How long the entry of a worker that has gone stays in the store. */
const ENTRY_KEPT_MS = 4_500;

/** The longest that an order waits for a connection, if it may leave at all by then. */
const CONNECTION_WAIT_MS = 1_500;

/** An order that hangs is lost after this time, since its connection is reset. */
const ORDER_ON_WIRE_MS = 1_500;

/** How long a node waits for the answer to an order. */
const HOST_TIMEOUT_MS = 2_000;

/** Hosts that are moved between pools and taken down for upkeep, and the workers on them. */
export abstract class SiteHosts extends SiteWorkers {
  /** Most hosts that were down for upkeep at once. */
  mostInUpkeep = 0;
  /** Runs that ended since their host was taken from under them. */
  runsCutOff = 0;
  /** How long answers to orders take. */
  hostAnswerMs = 2;
  /** Where hosts obey every order, one under a lower fence after a higher one breaks a promise. */
  hostsCheckFences = true;
  hostOrdersObeyed = 0;
  /** Share of orders that wait for a connection for a while, in percent. */
  waitPercent = 0;
  /** Hosts that lists leave out. */
  readonly hiddenHosts = new Set<HostId>();
  /** Hosts whose orders get lost on their way. */
  readonly lostOrders = new Set<HostId>();
  private nextWorker = 0;

  /** Adds a host with a worker on it, or a host that is off. */
  addHost(name: string, pool: string): void {
    const off = pool === STANDBY;
    const host = hostId(`m-${name}`);
    this.hosts.set(host, {
      pool: poolId(pool),
      worker: off ? null : name,
      state: "up",
      fence: 0,
      upkeeps: 0,
      waves: new Set(),
    });
    if (!off) {
      this.addWorker(name, host, pool);
    }
  }

  /** Carries out a move that an earlier owner ordered. */
  moveLate(host: HostId, pool: PoolId): void {
    const moved = this.hosts.get(host);
    if (moved?.state === "up") {
      this.takeDown(host, moved, "moving", pool, BOUNDS.moveMs);
    }
  }

  /** The host fails and comes back with another worker; the entry of the old one stays a while. */
  rebootHost(host: HostId): void {
    const rebooted = this.hosts.get(host);
    if (rebooted?.state === "up") {
      this.takeDown(host, rebooted, "moving", rebooted.pool, BOUNDS.moveMs);
    }
  }

  protected listHosts(node: SiteNode, sentAtMs: number): void {
    const listed = [...this.hosts].filter(([host]) => !this.hiddenHosts.has(host));
    const hosts: HostListing[] = listed.map(([host, { pool, state, worker }]) => ({
      host,
      pool,
      up: state === "up",
      inUpkeep: state === "upkeep",
      worker: worker === null ? null : workerId(worker),
    }));
    this.answerLater(node, 2, { type: "power/listed", sentAtMs, hosts, atMs: 0 });
  }

  /** An order may wait for a connection; it leaves only while its owner is sure by its own clock. */
  protected orderHost(node: SiteNode, order: HostOrder): void {
    const { life, frozenMs } = node;
    const onWayMs = 2 + this.pick(8);
    if (!this.chance(this.waitPercent)) {
      this.at(onWayMs, () => {
        this.sendToHost(node, order);
      });
      return;
    }
    this.at(onWayMs + this.pick(CONNECTION_WAIT_MS), () => {
      this.whenAwake(node, () => {
        if (node.up && node.life === life) {
          // The time of day tells the node that it was suspended.
          this.leave(node, order, node.frozenMs > frozenMs);
        }
      });
    });
  }

  /** Waits while a node is frozen. */
  protected whenAwake(node: SiteNode, act: () => void): void {
    const frozenMs = node.frozenUntilMs - this.nowMs;
    if (frozenMs > 0) {
      this.at(frozenMs, act);
    } else {
      act();
    }
  }

  private leave(node: SiteNode, order: HostOrder, suspended: boolean): void {
    if (suspended || this.clockOf(node) > order.sendDeadlineMs) {
      this.answerLater(node, 1, {
        type: "power/orderAnswered",
        order: order.order,
        host: order.host,
        result: HOST_ORDER_RESULT.REFUSED,
        reason: "it did not leave in time",
        atMs: 0,
      });
    } else {
      this.sendToHost(node, order);
    }
  }

  private sendToHost(node: SiteNode, order: HostOrder): void {
    const { order: id, host } = order;
    const answer = { type: "power/orderAnswered" as const, order: id, host, atMs: 0 };
    const unanswered = { ...answer, result: HOST_ORDER_RESULT.UNANSWERED, reason: "no answer" };
    if (this.lostOrders.has(host)) {
      this.answerLater(node, HOST_TIMEOUT_MS, unanswered);
    } else if (this.chance(this.faults.latePercent)) {
      this.at(this.pick(this.hostsCheckFences ? 6_000 : ORDER_ON_WIRE_MS), () => {
        this.obeyHostOrder(order);
      });
      this.answerLater(node, HOST_TIMEOUT_MS, unanswered);
    } else {
      const result = this.obeyHostOrder(order);
      const lost = this.chance(this.faults.lostPercent);
      this.answerLater(
        node,
        lost ? HOST_TIMEOUT_MS : this.hostAnswerMs,
        lost ? unanswered : { ...answer, result, reason: null },
      );
    }
  }

  private obeyHostOrder(order: HostOrder): HostOrderResult {
    const host = this.hosts.get(order.host);
    if (host?.state !== "up") {
      return HOST_ORDER_RESULT.BUSY;
    }
    if (Number(order.fence) < host.fence) {
      if (!this.hostsCheckFences) {
        throw new Error(`ONE: ${order.host} obeys fence ${order.fence} after ${host.fence}`);
      }
      return HOST_ORDER_RESULT.FENCED;
    }
    host.fence = Number(order.fence);
    this.hostOrdersObeyed += 1;
    if (order.type === "power/upkeep" && host.waves.has(order.wave)) {
      return HOST_ORDER_RESULT.ACCEPTED;
    }
    if (order.type === "power/upkeep") {
      host.waves.add(order.wave);
      this.takeDown(order.host, host, "upkeep", host.pool, BOUNDS.upkeepMs);
    } else if (order.pool !== host.pool) {
      this.takeDown(order.host, host, "moving", order.pool, BOUNDS.moveMs);
    }
    return HOST_ORDER_RESULT.ACCEPTED;
  }

  private takeDown(
    id: HostId,
    host: MemoryHost,
    state: MemoryHost["state"],
    pool: PoolId,
    forMs: number,
  ): void {
    const gone = host.worker;
    host.state = state;
    host.worker = null;
    if (gone !== null) {
      this.workers.get(gone)?.advance(this.nowMs);
      this.runsCutOff += this.workers.get(gone)?.runs.size ?? 0;
      this.workers.delete(gone);
      this.at(ENTRY_KEPT_MS, () => {
        this.store.workerGone(workerId(gone));
      });
    }
    const down = [...this.hosts.values()].filter((other) => other.state === "upkeep").length;
    this.mostInUpkeep = Math.max(this.mostInUpkeep, down);
    this.at(forMs, () => {
      host.state = "up";
      host.pool = pool;
      host.upkeeps += state === "upkeep" ? 1 : 0;
      if (pool !== STANDBY) {
        this.nextWorker += 1;
        host.worker = `${id}-${this.nextWorker}`;
        this.addWorker(host.worker, id, pool);
      }
    });
  }
}
