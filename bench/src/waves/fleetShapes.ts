import {
  address,
  availabilityZoneId,
  hostId,
  poolId,
  rackId,
  type PoolId,
} from "@heatherferry/common";
import type { HostRow } from "@heatherferry/core";

/** Layout of a fleet that is serviced by maintenance waves. */
export interface FleetShape {
  readonly name: string;
  readonly pools: number;
  readonly hosts: number;
  readonly availabilityZones: number;
  readonly hostsPerRack: number;
  /** Whether all hosts of a rack belong to one pool. */
  readonly racksOfOnePool: boolean;
  readonly maxUnavailable: number;
}

export const FLEET_SHAPES: readonly FleetShape[] = [
  {
    name: "San Vicente",
    pools: 5,
    hosts: 45,
    availabilityZones: 3,
    hostsPerRack: 4,
    racksOfOnePool: false,
    maxUnavailable: 2,
  },
  {
    name: "Tayside",
    pools: 5,
    hosts: 40,
    availabilityZones: 4,
    hostsPerRack: 4,
    racksOfOnePool: false,
    maxUnavailable: 2,
  },
  {
    name: "design size",
    pools: 52,
    hosts: 11_000,
    availabilityZones: 17,
    hostsPerRack: 16,
    racksOfOnePool: false,
    maxUnavailable: 8,
  },
  {
    name: "one pool of 212, racks of its own",
    pools: 1,
    hosts: 212,
    availabilityZones: 3,
    hostsPerRack: 16,
    racksOfOnePool: true,
    maxUnavailable: 8,
  },
  {
    name: "one pool of 40, two racks",
    pools: 1,
    hosts: 40,
    availabilityZones: 2,
    hostsPerRack: 30,
    racksOfOnePool: true,
    maxUnavailable: 4,
  },
];

const poolOf = (shape: FleetShape, index: number): PoolId => poolId(`pool-${index % shape.pools}`);

/**
 * @param shape - Layout of the fleet.
 * @returns The host rows: each pool is spread over the zones, and each zone fills its racks in order.
 */
export const hostsOf = (shape: FleetShape): readonly HostRow[] =>
  Array.from({ length: shape.hosts }, (_, index) => {
    const round = Math.floor(index / shape.pools);
    const zone = round % shape.availabilityZones;
    const inZone = Math.floor(round / shape.availabilityZones);
    const rackPrefix = shape.racksOfOnePool ? `${poolOf(shape, index)}-` : "";
    const indexInRacks = shape.racksOfOnePool
      ? inZone
      : inZone * shape.pools + (index % shape.pools);
    const rack = `zone-${zone}-${rackPrefix}rack-${Math.floor(indexInRacks / shape.hostsPerRack)}`;
    return {
      type: "host",
      hostId: hostId(`host-${index}`),
      availabilityZone: availabilityZoneId(`zone-${zone}`),
      rack: rackId(rack),
      pool: poolOf(shape, index),
      address: address("127.0.0.1:1"),
      slots: 8,
      phase: "inService",
      drainEpoch: 0,
      drainReason: null,
      moveTo: null,
      waveId: null,
    };
  });

/**
 * @param shape - Layout of the fleet.
 * @param maxPerRack - Most hosts of one pool and rack that may be unavailable at once.
 * @returns Text of the rules, with a pool and a wave for each pool of the fleet.
 */
export const rulesOf = (shape: FleetShape, maxPerRack: number): string =>
  Array.from({ length: shape.pools }, (_, index) => {
    const bounds = `max-unavailable=${shape.maxUnavailable} max-unavailable-per-rack=${maxPerRack}`;
    return [
      `pool pool-${index} hosts=none-${index} ${bounds} # asked by the operators`,
      `wave wave-${index} pool=pool-${index} # asked by the operators`,
    ].join("\n");
  }).join("\n");
