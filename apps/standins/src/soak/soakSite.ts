import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { DeployedProgram } from "./deployFile.js";
import { evacuatedZone } from "./evacuationRule.js";
import { PacedStore } from "./pacedStore.js";
import { configOf, type ConfigChanges } from "./soakConfig.js";
import { SoakClient } from "./soakClient.js";
import type { SoakEvents } from "./soakEvents.js";
import { SoakFleet } from "./soakFleet.js";
import { StoreProxy } from "./storeProxy.js";
import type { PlannedFault, SoakPlan } from "./types.js";
import { WorkNode } from "./workNode.js";

const READY_CHECK_MS = 100;
const OWNER = { TABLE: "heatherferry-owner", KEY: "all-pools" } as const;
const UNCHANGED: ConfigChanges = { idleQueues: 0, ceilingFactor: 1 };

/** Real processes of the product beside stand-ins of everything else. */
export class SoakSite {
  readonly store: PacedStore;
  readonly fleet: SoakFleet;
  readonly nodes: WorkNode[] = [];
  /** Folder of settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), "heatherferry-soak-"));
  private revision = 1;
  private waves = 0;
  private soakClient: SoakClient | null = null;

  constructor(
    private readonly plan: SoakPlan,
    seed: number,
    events: SoakEvents,
  ) {
    this.store = new PacedStore(plan.commitMs);
    this.fleet = new SoakFleet(plan, seed, this.store, events);
  }

  /** Returns the callers' connections, once the nodes have started. */
  get client(): SoakClient {
    if (this.soakClient === null) {
      throw new Error("No node has started yet; call start first");
    }
    return this.soakClient;
  }

  /** Starts everything and waits until every node serves and knows of an owner. */
  async start(program: DeployedProgram): Promise<void> {
    const storeAddress = await this.store.listen();
    const hostsAddress = await this.fleet.hostInterface.listen();
    this.writeConfig(UNCHANGED);
    await this.fleet.start();
    for (const zone of this.plan.zones) {
      for (let index = 1; index <= this.plan.nodesPerZone; index += 1) {
        await this.startNode(program, zone, index, storeAddress, hostsAddress);
      }
    }
    this.soakClient = new SoakClient(this.nodes);
    await this.untilServing(this.soakClient);
  }

  async close(): Promise<void> {
    await Promise.all(this.nodes.map(async (node) => node.end()));
    await this.soakClient?.close();
    await this.fleet.close();
    await this.store.close();
  }

  /** Writes a new revision of the configuration. */
  writeConfig(changes: Partial<ConfigChanges>): void {
    this.revision += 1;
    const config = configOf(this.plan, this.revision, { ...UNCHANGED, ...changes });
    this.store.put("op", "config", config);
  }

  /** Asks for the maintenance of a share of the hosts. */
  requestWave(share: number, draw: number, forMs: number): void {
    this.waves += 1;
    this.fleet.requestWave(this.waves, share, draw, forMs);
  }

  /** Requests the evacuation of the zone that a fault names, or removes the request. */
  setEvacuated(fault: PlannedFault, isRequested: boolean): void {
    const key = `evacuate/${evacuatedZone(this.plan, fault)}`;
    if (isRequested) {
      this.store.put("op", key, {});
    } else {
      this.store.remove("op", key);
    }
  }

  /** Returns the node that owns the work by the row in the store; null if its process is gone. */
  owner(): WorkNode | null {
    const text = this.store.readText(OWNER.TABLE, "", OWNER.KEY);
    const node = this.nodes.find(({ name }) => text?.includes(`"${name}@`) === true);
    return node?.isRunning === true ? node : null;
  }

  private async startNode(
    program: DeployedProgram,
    zone: string,
    index: number,
    storeAddress: string,
    hostsAddress: string,
  ): Promise<void> {
    const proxy = new StoreProxy(storeAddress);
    const place = {
      name: `node-${zone}-${index}`,
      zone,
      zones: this.plan.zones,
      folder: this.folder,
      storeAddress: await proxy.listen(),
      hostsAddress,
      cores: this.plan.coresPerNode,
    };
    const node = new WorkNode(program, place, proxy);
    this.nodes.push(node);
    await node.start();
  }

  private async untilServing(client: SoakClient): Promise<void> {
    const queue = this.plan.kinds[0]?.name ?? "";
    const team = this.plan.teams[0]?.name ?? "";
    for (;;) {
      const ready = await Promise.all(this.nodes.map(async (node) => node.isReady()));
      if (ready.every(Boolean) && (await client.areServing(queue, team))) {
        return;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, READY_CHECK_MS);
      });
    }
  }
}
