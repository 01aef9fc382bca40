import { WORKER_BOUND } from "../work/workerConstants.js";
import { SOAK } from "./constants.js";
import type { NodePlace } from "./workNode.js";

/** Ports before and behind the one for metrics. */
const PORTS_BEFORE_METRICS = 10;

const BOUNDS = {
  revokeMs: 5_000,
  configApplyMs: 2_000,
  holdMaxMs: WORKER_BOUND.MAX_LEASE_MS,
  stopMs: 900,
  gangMs: 3_000,
  graceS: 6,
  drainMs: WORKER_BOUND.DRAIN_MS,
  status_s: 120,
  visible_ms: 3_000,
  leaseMs: 3_000,
  noticeMs: 4_500,
  impactMs: 4_000,
  migrationS: 1.5,
  maintenanceS: 2,
  evacuationMs: SOAK.EVACUATION_MS,
} as const;

const section = (name: string, fields: object): string =>
  [
    `[${name}]`,
    ...Object.entries(fields).map(([key, value]) => `${key} = ${JSON.stringify(value)}`),
  ].join("\n");

/**
 * Returns the settings file of a node, as the platform writes it.
 *
 * @param callerAddress - `host:port` for callers.
 * @param readyAddress - `host:port` at which the platform asks whether the node is ready.
 * @param metricsPort - Port of the metrics.
 */
export const nodeSettings = (
  place: NodePlace,
  callerAddress: string,
  readyAddress: string,
  metricsPort: number,
): string =>
  [
    `nodeName = ${JSON.stringify(place.name)}`,
    'ip = "127.0.0.1"',
    `zone = ${JSON.stringify(place.zone)}`,
    `internalPorts = [${metricsPort - PORTS_BEFORE_METRICS}, ${metricsPort}]`,
    section("zones", Object.fromEntries(place.zones.map((zone) => [zone, "region"]))),
    section("listenAddrs", { frontend: callerAddress, ready: readyAddress }),
    section("limits", { cpuShare: 0.675, cores: 1, memoryMb: 350, linkMbps: 1_000 }),
    section("bounds", BOUNDS),
    section("platform", { address: place.storeAddress }),
    section("cloudApi", { address: place.hostsAddress }),
    "",
  ].join("\n");
