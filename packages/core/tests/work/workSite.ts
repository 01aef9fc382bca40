import { address, availabilityZoneId, entryHostId, incarnation } from "@heatherferry/common";
import {
  initialState,
  initialWork,
  NODE_ROLE,
  reduce,
  storeVersion,
  type Effect,
  type Event,
  type State,
} from "../../src/index.js";
import { BOUNDS, CATALOG, STANDBY } from "./siteFixtures.js";
import { SiteCallers } from "./siteCallers.js";
import { NodeProcessor } from "./siteProcessor.js";
import type { SiteNode } from "./siteStore.js";

const CORE_MILLI = 1_000;

const stepsOf = ({ state }: SiteNode): number => state.work?.effort.steps ?? 0;

/** Several nodes, a store and workers on one virtual clock; it throws when a promise is broken. */
export class WorkSite extends SiteCallers {
  /** All that the nodes decided. */
  readonly effects: Effect[] = [];
  /** Nodes whose time of day is ahead of the others', by so much. */
  readonly wallAheadMs = new Map<string, number>();
  /** Times that events cost what they usually do; null where they take no time. */
  protected processorPrice: number | null = null;
  /** Hears of an event that was waiting once its node has come to it. */
  protected eventTaken: ((event: Event) => void) | null = null;

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
      this.addHost(`${STANDBY}-${index}`, STANDBY);
    }
    for (let index = 0; index < nodes; index += 1) {
      this.addNode(`n${index}`);
    }
  }

  kill(nodeIndex: number, downMs: number): void {
    const node = this.nodes[nodeIndex];
    if (node?.up === true) {
      node.up = false;
      this.at(downMs, () => {
        this.revive(node);
      });
    }
  }

  stopGracefully(nodeIndex: number): void {
    const node = this.nodes[nodeIndex];
    if (node?.up === true) {
      this.handle(node, { type: "node/shutdownRequested", atMs: 0 });
    }
  }

  /** Tells a node that it failed to handle an event. */
  failEvent(nodeIndex: number): void {
    const node = this.nodes[nodeIndex];
    if (node !== undefined) {
      this.handle(node, { type: "node/eventFailed", atMs: 0, failedType: "worker/looked" });
    }
  }

  freeze(nodeIndex: number, forMs: number): void {
    const node = this.nodes[nodeIndex];
    if (node !== undefined) {
      // Steady clocks never go back, so a freeze within another one only makes it longer.
      const frozenSoFarMs = Math.max(this.nowMs, node.frozenUntilMs);
      node.frozenUntilMs = Math.max(frozenSoFarMs, this.nowMs + forMs);
      node.frozenMs += node.frozenUntilMs - frozenSoFarMs;
    }
  }

  /** @param cores - Its share of a processor. */
  protected addNode(name: string, cores = 1): void {
    const node: SiteNode = {
      name,
      state: this.newState(name, 1, cores),
      frozenMs: 0,
      frozenUntilMs: 0,
      life: 1,
      up: true,
      refusedUntilMs: 0,
      cores,
      processor: this.newProcessor(cores),
    };
    this.nodes.push(node);
    this.tick(node, 1);
  }

  private newProcessor(cores: number): NodeProcessor | null {
    return this.processorPrice === null ? null : new NodeProcessor(cores, this.processorPrice);
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
    state.work = initialWork(self, BOUNDS, CORE_MILLI * cores);
    return state;
  }

  private revive(node: SiteNode): void {
    node.life += 1;
    node.state = this.newState(node.name, node.life, node.cores);
    node.processor = this.newProcessor(node.cores);
    node.up = true;
    this.tick(node, node.life);
  }

  private tick(node: SiteNode, life: number): void {
    if (node.up && node.life === life) {
      this.handle(node, { type: "clock/ticked", atMs: 0 });
      this.at(100, () => {
        this.tick(node, life);
      });
    }
  }

  protected override handle(node: SiteNode, event: Event): void {
    const { life } = node;
    if (!node.up) {
      return;
    }
    if (this.nowMs < node.frozenUntilMs) {
      this.at(node.frozenUntilMs - this.nowMs, () => {
        if (node.life === life) {
          this.handle(node, event);
        }
      });
      return;
    }
    if (node.processor === null) {
      this.carryOutAll(node, this.reduced(node, event));
    } else {
      node.processor.arrive(event, this.nowMs);
      this.handleNext(node, node.processor);
    }
  }

  /** Handles the event whose turn it is; what it brings about happens once its time is over. */
  private handleNext(node: SiteNode, processor: NodeProcessor): void {
    const event = node.up ? processor.begin(this.nowMs) : null;
    if (event === null) {
      return;
    }
    this.eventTaken?.(event);
    const stepsBefore = stepsOf(node);
    const effects = this.reduced(node, event);
    const forMs = processor.charge(event, stepsOf(node) - stepsBefore, effects);
    this.at(forMs, () => {
      this.whenAwake(node, () => {
        if (node.up && node.processor === processor) {
          this.carryOutAll(node, effects);
          processor.end();
          this.handleNext(node, processor);
        }
      });
    });
  }

  private reduced(node: SiteNode, event: Event): readonly Effect[] {
    const timed = {
      ...event,
      atMs: this.clockOf(node),
      wallMs: 1e6 + this.nowMs + (this.wallAheadMs.get(node.name) ?? 0),
    };
    return reduce(node.state, timed);
  }

  private carryOutAll(node: SiteNode, effects: readonly Effect[]): void {
    for (const effect of effects) {
      this.carryOut(node, effect);
    }
  }

  private carryOut(node: SiteNode, effect: Effect): void {
    this.effects.push(effect);
    const sentAtMs = this.clockOf(node);
    const { life } = node;
    const remote = (act: () => void): void => {
      this.at(2 + this.pick(8), act);
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
        this.feed(node, life, effect, this.nowMs + effect.waitMs);
        return;
      case "store/commit":
        remote(() => {
          this.commit(node, effect, sentAtMs);
        });
        return;
      case "store/lookUp":
        remote(() => {
          this.lookUp(node, effect.callId, effect.id);
        });
        return;
      case "worker/start":
        this.judgeOrder(effect);
        this.sendOrder(node, effect, sentAtMs);
        return;
      case "worker/stop":
      case "worker/look":
        this.sendOrder(node, effect, sentAtMs);
        return;
      case "power/list":
        remote(() => {
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
