import { hostId, poolId, type HostId, type PoolId } from "@heatherferry/common";
import {
  HOST_ORDER_RESULT,
  workerId,
  type Effect,
  type HostListing,
  type HostOrderResult,
} from "../../src/index.js";
import { BOUNDS, STANDBY_POOL } from "./siteFixtures.js";
import { SiteWorkers, type MemoryHost } from "./siteWorkers.js";
import type { SiteNode } from "./siteStore.js";

type HostOrder = Extract<Effect, { type: "power/move" | "power/upkeep" }>;

/** Time until the registration of a removed worker expires. */
const REGISTRATION_EXPIRY_MS = 4_500;

/** Longest time that an order waits for a connection. */
const CONNECTION_WAIT_MS = 1_500;

/** An order that has not arrived after this time is lost, since its connection is reset. */
const ORDER_IN_TRANSIT_MS = 1_500;

/** Timeout of a node for the answer to an order. */
const ANSWER_TIMEOUT_MS = 2_000;

/** Simulates hosts, which orders move between pools or take down for maintenance. */
export abstract class SiteHosts extends SiteWorkers {
  /** Highest number of hosts that were in maintenance at once. */
  maxInMaintenance = 0;
  /** Runs that were interrupted because their host was taken down. */
  interruptedRuns = 0;
  /** Delay of answers to orders. */
  hostAnswerDelayMs = 2;
  /**
   * Whether hosts reject orders with an outdated fencing token. If not, an order with a lower token
   * after one with a higher token is a violation.
   */
  hostsCheckFences = true;
  hostOrdersCarriedOut = 0;
  /** Percentage of orders that wait for a connection. */
  delayedOrderPercent = 0;
  /** Hosts that are missing from host lists. */
  readonly unlistedHosts = new Set<HostId>();
  /** Hosts that orders do not reach. */
  readonly hostsLosingOrders = new Set<HostId>();
  /** By how much the maintenance of a host takes longer than it should. */
  maintenanceDelayMs = 0;
  private nextWorker = 0;

  /** Adds a host with a worker, or without one if the pool is the standby pool. */
  addHost(name: string, pool: string): void {
    const isStandby = pool === STANDBY_POOL;
    const host = hostId(`m-${name}`);
    this.hosts.set(host, {
      pool: poolId(pool),
      worker: isStandby ? null : name,
      state: "up",
      fence: 0,
      maintenances: 0,
      waves: new Set(),
    });
    if (!isStandby) {
      this.addWorker(name, host, pool);
    }
  }

  /** Moves a host as a late order of an earlier owner would. */
  applyLateMove(host: HostId, pool: PoolId): void {
    const movedHost = this.hosts.get(host);
    if (movedHost?.state === "up") {
      this.takeDown(host, movedHost, "moving", pool, BOUNDS.moveMs);
    }
  }

  /** Reboots a host, which then runs a new worker; the old registration expires later. */
  rebootHost(host: HostId): void {
    const rebooted = this.hosts.get(host);
    if (rebooted?.state === "up") {
      this.takeDown(host, rebooted, "moving", rebooted.pool, BOUNDS.moveMs);
    }
  }

  protected listHosts(node: SiteNode, sentAtMs: number): void {
    const listed = [...this.hosts].filter(([host]) => !this.unlistedHosts.has(host));
    const hosts: HostListing[] = listed.map(([host, { pool, state, worker }]) => ({
      host,
      pool,
      availabilityZone: this.zoneOf(host),
      up: state === "up",
      inMaintenance: state === "upkeep",
      labels: [],
      capacity: null,
      worker: worker === null ? null : workerId(worker),
    }));
    this.answerLater(node, 2, { type: "power/listed", sentAtMs, hosts, atMs: 0 });
  }

  /** Sends an order, perhaps after a wait for a connection, unless its deadline has passed. */
  protected orderHost(node: SiteNode, order: HostOrder): void {
    const { incarnation, frozenMs } = node;
    const latencyMs = 2 + this.randomBelow(8);
    if (!this.randomChance(this.delayedOrderPercent)) {
      this.schedule(latencyMs, () => {
        this.sendToHost(node, order);
      });
      return;
    }
    this.schedule(latencyMs + this.randomBelow(CONNECTION_WAIT_MS), () => {
      this.whenNotFrozen(node, () => {
        if (node.up && node.incarnation === incarnation) {
          // The node detects from its wall clock that it was suspended.
          this.sendUnlessLate(node, order, node.frozenMs > frozenMs);
        }
      });
    });
  }

  /** Acts at once, or when the node is no longer frozen. */
  protected whenNotFrozen(node: SiteNode, act: () => void): void {
    const frozenMs = node.frozenUntilMs - this.nowMs;
    if (frozenMs > 0) {
      this.schedule(frozenMs, act);
    } else {
      act();
    }
  }

  private sendUnlessLate(node: SiteNode, order: HostOrder, suspended: boolean): void {
    if (suspended || this.clockOf(node) > order.sendDeadlineMs) {
      this.answerLater(node, 1, {
        type: "power/orderAnswered",
        order: order.order,
        host: order.host,
        result: HOST_ORDER_RESULT.REFUSED,
        reason: "the order was not sent before its deadline",
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
    if (this.hostsLosingOrders.has(host)) {
      this.answerLater(node, ANSWER_TIMEOUT_MS, unanswered);
    } else if (this.randomChance(this.faults.latePercent)) {
      this.schedule(this.randomBelow(this.hostsCheckFences ? 6_000 : ORDER_IN_TRANSIT_MS), () => {
        this.carryOutHostOrder(order);
      });
      this.answerLater(node, ANSWER_TIMEOUT_MS, unanswered);
    } else {
      const result = this.carryOutHostOrder(order);
      const lost = this.randomChance(this.faults.lostPercent);
      this.answerLater(
        node,
        lost ? ANSWER_TIMEOUT_MS : this.hostAnswerDelayMs,
        lost ? unanswered : { ...answer, result, reason: null },
      );
    }
  }

  private carryOutHostOrder(order: HostOrder): HostOrderResult {
    const host = this.hosts.get(order.host);
    if (host?.state !== "up") {
      return HOST_ORDER_RESULT.BUSY;
    }
    if (Number(order.fence) < host.fence) {
      if (!this.hostsCheckFences) {
        throw new Error(
          `${order.host} carries out an order with fence ${order.fence} after ${host.fence}`,
        );
      }
      return HOST_ORDER_RESULT.FENCED;
    }
    host.fence = Number(order.fence);
    this.hostOrdersCarriedOut += 1;
    if (order.type === "power/upkeep" && host.waves.has(order.wave)) {
      return HOST_ORDER_RESULT.ACCEPTED;
    }
    if (order.type === "power/upkeep") {
      host.waves.add(order.wave);
      const forMs = BOUNDS.maintenanceMs + this.maintenanceDelayMs;
      this.takeDown(order.host, host, "upkeep", host.pool, forMs);
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
    const removed = host.worker;
    host.state = state;
    host.worker = null;
    if (removed !== null) {
      this.workers.get(removed)?.advance(this.nowMs);
      this.interruptedRuns += this.workers.get(removed)?.runs.size ?? 0;
      this.workers.delete(removed);
      this.schedule(REGISTRATION_EXPIRY_MS, () => {
        this.store.removeWorker(workerId(removed));
      });
    }
    const inMaintenance = [...this.hosts.values()].filter(
      (other) => other.state === "upkeep",
    ).length;
    this.maxInMaintenance = Math.max(this.maxInMaintenance, inMaintenance);
    this.schedule(forMs, () => {
      host.state = "up";
      host.pool = pool;
      host.maintenances += state === "upkeep" ? 1 : 0;
      if (pool !== STANDBY_POOL) {
        this.nextWorker += 1;
        host.worker = `${id}-${this.nextWorker}`;
        this.addWorker(host.worker, id, pool);
      }
    });
  }
}
