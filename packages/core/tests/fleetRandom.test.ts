import test from "ava";
import { uniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { FleetNode } from "./fleetHelpers/fleetNode.js";
import { TestFleet } from "./fleetHelpers/testFleet.js";

const SEEDS = 10;
const STEPS = 400;
const STEP_MS = 2_000;

const RULES = [
  "team lots share=1 limit=100 # asked by San Vicente",
  "pool dies hosts=dies-* max-unavailable=3 max-unavailable-per-rack=2 # asked by San Vicente",
  "queue open pool=dies open=yes team=lots timeout-ms=60000 # asked by San Vicente",
  "wave spring pool=dies max-failures=2 # asked by San Vicente",
].join("\n");

const HOSTS = ["dies-1", "dies-2", "dies-3", "dies-4", "dies-5", "dies-6", "dies-7", "dies-8"];

/** A run in which faults begin and end in a sequence determined by the seed. */
class RandomRun {
  readonly fleet = new TestFleet(RULES);
  private readonly random;
  private restarts = 0;

  constructor(seed: number) {
    this.random = xoroshiro128plus(seed);
    this.fleet.rebootMs = 20_000;
    this.fleet.addHosts("a", "r1", ...HOSTS.slice(0, 4));
    this.fleet.addHosts("a", "r2", ...HOSTS.slice(4));
    ["e1", "e2"].forEach((name) => {
      this.fleet.entry(name);
      this.fleet.maintainer(name);
    });
    this.fleet.advance(8_000);
  }

  run(): readonly string[] {
    for (let step = 0; step < STEPS && this.fleet.violations.length === 0; step += 1) {
      this.injectFault();
      this.fleet.advance(STEP_MS);
    }
    return this.fleet.violations;
  }

  private randomBelow(bound: number): number {
    return uniformIntDistribution(0, bound - 1, this.random)[0];
  }

  private pick<T>(values: readonly T[]): T {
    const value = values[this.randomBelow(values.length)];
    if (value === undefined) {
      throw new Error("Cannot pick from an empty list; pass at least one value");
    }
    return value;
  }

  private injectFault(): void {
    const node = this.pick(this.fleet.nodes);
    const host = this.pick(HOSTS);
    const faults: readonly (() => void)[] = [
      () => (node.disconnected = !node.disconnected),
      () => {
        this.togglePause(node);
      },
      () => (node.repliesToLose = 2),
      () => (node.writeDelayMs = this.randomBelow(2) * 20_000),
      () => (node.dropReads = !node.dropReads),
      () => {
        this.restart(node);
      },
      () => {
        this.fleet.setListedState(host, this.pick(["live", "leaving"]));
      },
      () => {
        this.drain(host);
      },
      () => this.fleet.hostsFailingReboot.add(host),
      () => {
        this.fleet.hostsFailingReboot.clear();
      },
    ];
    this.pick(faults)();
    this.generateWork();
  }

  private togglePause(node: FleetNode): void {
    if (node.paused) {
      this.fleet.resume(node);
    } else {
      node.paused = true;
    }
  }

  /** Replaces a node by a new process with the same id; the work in flight of the old one ends. */
  private restart(node: FleetNode): void {
    this.restarts += 1;
    const { role } = node.state.node.identity;
    this.fleet.kill(node);
    if (role === "entry") {
      this.fleet.entry(node.name);
    } else {
      this.fleet.maintainer(node.name);
    }
  }

  private drain(host: string): void {
    if (this.fleet.hasHostRow(host) && this.fleet.mayDrain(host)) {
      this.fleet.drain(host);
    }
  }

  private generateWork(): void {
    for (const node of this.fleet.nodes) {
      if (node.state.node.identity.role === "entry" && !node.paused) {
        if (this.randomBelow(3) === 0) {
          node.finishWork();
        }
        node.startWork();
        node.startWork();
      }
    }
  }
}

test("no sequence of disconnections, pauses, restarts and lost replies violates an invariant", (t) => {
  let reboots = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const run = new RandomRun(seed);
    t.deepEqual(run.run(), [], `seed ${seed}`);
    reboots += run.fleet.reboots.length;
  }
  t.true(reboots > SEEDS, `${reboots} reboots in ${SEEDS} runs`);
});
