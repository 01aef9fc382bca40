import { address, availabilityZoneId, entryHostId, incarnation } from "@heatherferry/common";
import {
  initialState,
  initialWorkloadState,
  NODE_ROLE,
  reduce,
  storeVersion,
  type Effect,
  type Event,
  type State,
} from "../../src/index.js";
import { BOUNDS, CATALOG, STANDBY_POOL } from "./siteFixtures.js";
import { SiteCallers } from "./siteCallers.js";
import { NodeProcessor } from "./siteProcessor.js";
import type { SiteNode } from "./siteStore.js";

const MILLI_PER_CORE = 1_000;

const stepsOf = ({ state }: SiteNode): number => state.work?.handlingCost.steps ?? 0;

/**
 * Simulates an installation of nodes, a store, hosts and workers on one virtual clock. It throws
 * when an invariant is violated.
 */
export class WorkSite extends SiteCallers {
  /** All effects of all nodes, in order. */
  readonly effects: Effect[] = [];
  private bounds = BOUNDS;
  /** Time by which the wall clocks of nodes, by name, are ahead of the site's clock. */
  readonly wallClockLeadMs = new Map<string, number>();
  /** Factor on the usual processor time of events; null if events take no time. */
  protected eventCostFactor: number | null = null;
  /** Called with each queued event when its node begins to handle it. */
  protected onEventHandled: ((event: Event) => void) | null = null;

  constructor(
    seed: number,
    nodes = 3,
    workersPerPool = 3,
    standbyHosts = 0,
    startupMs: number | null = null,
  ) {
    super(seed, startupMs);
    this.store.put("catalog", { type: "catalog", version: storeVersion(0), catalog: CATALOG });
    for (const pool of ["mills", "dies"]) {
      for (let index = 0; index < workersPerPool; index += 1) {
        this.addHost(`${pool}-${index}`, pool);
      }
    }
    for (let index = 0; index < standbyHosts; index += 1) {
      this.addHost(`${STANDBY_POOL}-${index}`, STANDBY_POOL);
    }
    for (let index = 0; index < nodes; index += 1) {
      this.addNode(`n${index}`);
    }
  }

  /** Lets operators evacuate zones; without it, as by default, nodes know no bound for it. */
  setEvacuationBound(evacuationMs: number): void {
    this.evacuationMs = evacuationMs;
    this.bounds = { ...this.bounds, evacuationMs };
    for (const { state } of this.nodes) {
      if (state.work !== null) {
        state.work.bounds = this.bounds;
      }
    }
  }

  /** Requests the evacuation of a zone; the store acknowledges it at once. */
  evacuate(name: string): void {
    const zone = availabilityZoneId(name);
    this.evacuatedSinceMs.set(zone, this.nowMs);
    this.store.put(`evacuate ${name}`, { type: "evacuation", version: storeVersion(0), zone });
  }

  /** Removes the request to evacuate a zone. */
  takeBack(name: string): void {
    const zone = availabilityZoneId(name);
    this.evacuatedSinceMs.delete(zone);
    const removed = { type: "evacuationRemoved", version: storeVersion(0), zone } as const;
    this.store.put(`evacuate ${name}`, removed);
  }

  /** Kills a node; it restarts as a new incarnation. */
  kill(nodeIndex: number, downMs: number): void {
    const node = this.nodes[nodeIndex];
    if (node?.up === true) {
      node.up = false;
      this.schedule(downMs, () => {
        this.restart(node);
      });
    }
  }

  stopGracefully(nodeIndex: number): void {
    const node = this.nodes[nodeIndex];
    if (node?.up === true) {
      this.handle(node, { type: "node/shutdownRequested", atMs: 0 });
    }
  }

  /** Reports to a node that its handling of an event failed. */
  failEvent(nodeIndex: number): void {
    const node = this.nodes[nodeIndex];
    if (node !== undefined) {
      this.handle(node, { type: "node/eventFailed", atMs: 0, failedType: "worker/looked" });
    }
  }

  /** Suspends a node; its monotonic clock stands still meanwhile. */
  freeze(nodeIndex: number, forMs: number): void {
    const node = this.nodes[nodeIndex];
    if (node !== undefined) {
      // Monotonic clocks never go back, so a suspension during another one only extends it.
      const frozenSoFarMs = Math.max(this.nowMs, node.frozenUntilMs);
      node.frozenUntilMs = Math.max(frozenSoFarMs, this.nowMs + forMs);
      node.frozenMs += node.frozenUntilMs - frozenSoFarMs;
    }
  }

  /** @param cores - Processor time that the node may use, in cores. */
  protected addNode(name: string, cores = 1): void {
    const node: SiteNode = {
      name,
      state: this.newState(name, 1, cores),
      frozenMs: 0,
      frozenUntilMs: 0,
      incarnation: 1,
      up: true,
      refusedUntilMs: 0,
      cores,
      processor: this.newProcessor(cores),
    };
    this.nodes.push(node);
    this.tick(node, 1);
  }

  private newProcessor(cores: number): NodeProcessor | null {
    return this.eventCostFactor === null ? null : new NodeProcessor(cores, this.eventCostFactor);
  }

  private newState(name: string, life: number, cores: number): State {
    const identity = {
      role: NODE_ROLE.WORK,
      entryHostId: entryHostId(name),
      availabilityZone: availabilityZoneId("a"),
      incarnation: incarnation(`${name}-${life}`),
      callerAddress: address(""),
      peerAddress: address(""),
    };
    const state = initialState(identity, 1, 0);
    const self = { holder: name, incarnation: `${name}-${life}` };
    state.work = initialWorkloadState(self, this.bounds, MILLI_PER_CORE * cores);
    return state;
  }

  private restart(node: SiteNode): void {
    node.incarnation += 1;
    node.state = this.newState(node.name, node.incarnation, node.cores);
    node.processor = this.newProcessor(node.cores);
    node.up = true;
    this.tick(node, node.incarnation);
  }

  private tick(node: SiteNode, life: number): void {
    if (node.up && node.incarnation === life) {
      this.handle(node, { type: "clock/ticked", atMs: 0 });
      this.schedule(100, () => {
        this.tick(node, life);
      });
    }
  }

  /** Delivers an event to a node, after its suspension if it is frozen. */
  protected override handle(node: SiteNode, event: Event): void {
    const { incarnation } = node;
    if (!node.up) {
      return;
    }
    if (this.nowMs < node.frozenUntilMs) {
      this.schedule(node.frozenUntilMs - this.nowMs, () => {
        if (node.incarnation === incarnation) {
          this.handle(node, event);
        }
      });
      return;
    }
    if (node.processor === null) {
      this.carryOutEffects(node, this.reduceEvent(node, event));
    } else {
      node.processor.enqueue(event, this.nowMs);
      this.handleNext(node, node.processor);
    }
  }

  /** Handles the next queued event; its effects follow once its processor time has passed. */
  private handleNext(node: SiteNode, processor: NodeProcessor): void {
    const event = node.up ? processor.beginNext(this.nowMs) : null;
    if (event === null) {
      return;
    }
    this.onEventHandled?.(event);
    const stepsBefore = stepsOf(node);
    const effects = this.reduceEvent(node, event);
    const forMs = processor.charge(event, stepsOf(node) - stepsBefore, effects);
    this.schedule(forMs, () => {
      this.whenNotFrozen(node, () => {
        if (node.up && node.processor === processor) {
          this.carryOutEffects(node, effects);
          processor.end();
          this.handleNext(node, processor);
        }
      });
    });
  }

  private reduceEvent(node: SiteNode, event: Event): readonly Effect[] {
    const timedEvent = {
      ...event,
      atMs: this.clockOf(node),
      wallMs: 1e6 + this.nowMs + (this.wallClockLeadMs.get(node.name) ?? 0),
    };
    return reduce(node.state, timedEvent);
  }

  private carryOutEffects(node: SiteNode, effects: readonly Effect[]): void {
    for (const effect of effects) {
      this.carryOutEffect(node, effect);
    }
  }

  private carryOutEffect(node: SiteNode, effect: Effect): void {
    this.effects.push(effect);
    const sentAtMs = this.clockOf(node);
    const { incarnation } = node;
    const afterNetworkDelay = (act: () => void): void => {
      this.schedule(2 + this.randomBelow(8), act);
    };
    switch (effect.type) {
      case "call/answer":
        this.answered(effect);
        return;
      case "clock/wake":
        this.answerLater(node, effect.delayMs, { type: "clock/ticked", atMs: 0 });
        return;
      case "node/exit":
        this.kill(this.nodes.indexOf(node), 600);
        return;
      case "store/scan":
        this.scan(node, effect, sentAtMs);
        return;
      case "store/feed":
        this.feed(node, incarnation, effect, this.nowMs + effect.waitMs);
        return;
      case "store/commit":
        afterNetworkDelay(() => {
          this.commit(node, effect, sentAtMs);
        });
        return;
      case "store/lookUp":
        afterNetworkDelay(() => {
          this.lookUp(node, effect.callId, effect.id);
        });
        return;
      case "worker/start":
        this.checkOrder(effect);
        this.sendOrder(node, effect, sentAtMs);
        return;
      case "worker/stop":
      case "worker/look":
        this.sendOrder(node, effect, sentAtMs);
        return;
      case "power/list":
        afterNetworkDelay(() => {
          this.listHosts(node, sentAtMs);
        });
        return;
      case "power/move":
      case "power/upkeep":
        this.orderHost(node, effect);
        return;
      default:
    }
  }
}
