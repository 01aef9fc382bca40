import {
  address,
  availabilityZoneId,
  hostId,
  poolId,
  rackId,
  type PoolId,
} from "@heatherferry/common";
import type { HostRow } from "@heatherferry/core";

/** A fleet to roll a maintenance wave out over. */
export interface Shape {
  readonly name: string;
  readonly pools: number;
  readonly hosts: number;
  readonly availabilityZones: number;
  readonly hostsPerRack: number;
  readonly maxUnavailable: number;
}

export const SHAPES: readonly Shape[] = [
  {
    name: "San Vicente",
    pools: 5,
    hosts: 45,
    availabilityZones: 3,
    hostsPerRack: 4,
    maxUnavailable: 2,
  },
  {
    name: "Tayside",
    pools: 5,
    hosts: 40,
    availabilityZones: 4,
    hostsPerRack: 4,
    maxUnavailable: 2,
  },
  {
    name: "design size",
    pools: 52,
    hosts: 11_000,
    availabilityZones: 17,
    hostsPerRack: 16,
    maxUnavailable: 8,
  },
];

const poolOf = (shape: Shape, index: number): PoolId => poolId(`pool-${index % shape.pools}`);

/**
 * @param shape - The fleet.
 * @returns Its hosts: pools spread over zones, racks filled zone by zone.
 */
export const hostsOf = (shape: Shape): readonly HostRow[] =>
  Array.from({ length: shape.hosts }, (_, index) => {
    const round = Math.floor(index / shape.pools);
    const zone = round % shape.availabilityZones;
    const placeInZone =
      Math.floor(round / shape.availabilityZones) * shape.pools + (index % shape.pools);
    return {
      type: "host",
      hostId: hostId(`host-${index}`),
      availabilityZone: availabilityZoneId(`zone-${zone}`),
      rack: rackId(`zone-${zone}-rack-${Math.floor(placeInZone / shape.hostsPerRack)}`),
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
 * @param shape - The fleet.
 * @param maxPerRack - Hosts of one pool and rack that may be out at once.
 * @returns The rules: a pool and a wave each.
 */
export const rulesOf = (shape: Shape, maxPerRack: number): string =>
  Array.from({ length: shape.pools }, (_, index) => {
    const bounds = `max-unavailable=${shape.maxUnavailable} max-unavailable-per-rack=${maxPerRack}`;
    return [
      `pool pool-${index} hosts=none-${index} ${bounds} # asked by the operators`,
      `wave wave-${index} pool=pool-${index} # asked by the operators`,
    ].join("\n");
  }).join("\n");
