import { TestFleet } from "./testFleet.js";

/** Values of the rules that a test of waves chooses. */
export interface WaveOptions {
  readonly maxUnavailable?: number;
  readonly perRack?: number;
  readonly maxFailures?: number;
  readonly paused?: boolean;
}

/** Returns a rules file with one pool, and with the wave `spring` if requested. */
export const rulesOf = (options: WaveOptions, withWave = true): string => {
  const { maxUnavailable = 2, perRack = 1, maxFailures = 0, paused = false } = options;
  const wave = `wave spring pool=dies max-failures=${maxFailures} paused=${paused ? "yes" : "no"}`;
  return [
    "team lots share=1 limit=100 # asked by San Vicente",
    `pool dies hosts=dies-* max-unavailable=${maxUnavailable} max-unavailable-per-rack=${perRack} # asked by lots`,
    "queue open pool=dies open=yes team=lots timeout-ms=60000 # asked by lots",
    ...(withWave ? [`${wave} # asked by San Vicente`] : []),
  ].join("\n");
};

export const HOSTS = ["dies-1", "dies-2", "dies-3", "dies-4", "dies-5", "dies-6"];

/** Creates a fleet of six hosts in two racks, with one entry host and two maintainers. */
export const createWaveFleet = (options: WaveOptions = {}) => {
  const fleet = new TestFleet(rulesOf(options, false));
  fleet.addHosts("a", "r1", "dies-1", "dies-2", "dies-3");
  fleet.addHosts("a", "r2", "dies-4", "dies-5", "dies-6");
  const entry = fleet.entry("e1");
  const maintainers = [fleet.maintainer("e1"), fleet.maintainer("e2")];
  fleet.advance(10_000);
  const startWave = (): void => {
    fleet.applyRules(rulesOf(options));
  };
  return { fleet, entry, maintainers, startWave };
};

/** Returns the row of the wave. */
export const wave = (fleet: TestFleet) => fleet.table.body("wave/spring", "wave");

/** Returns the maintainer that holds the pool's lease. */
export const leaseHolder = (fleet: TestFleet, pool = "dies") => {
  const { incarnation } = fleet.table.body(`lease/${pool}`, "maintainerLease");
  const node = fleet.nodes.find(({ state }) => state.node.identity.incarnation === incarnation);
  if (node === undefined) {
    throw new Error(`No running node holds the lease of ${pool}; advance the clock until one does`);
  }
  return node;
};

/** Returns a condition that holds once the wave is done. */
export const isWaveDone = (fleet: TestFleet) => (): boolean =>
  [...fleet.table.rows.values()].some(({ body }) => body.type === "wave" && body.status === "done");
