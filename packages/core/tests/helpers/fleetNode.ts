import {
  address,
  availabilityZoneId,
  entryHostId,
  hostId,
  incarnation,
  poolId,
  rackId,
  type AttemptId,
  type TeamId,
} from "@heatherferry/common";
import {
  cheapInvariants,
  initialState,
  type Effect,
  type Event,
  type HostRow,
  type Invariant,
  type State,
} from "../../src/index.js";

/** Work on a target; it goes on to its end though its entry host be killed. */
export interface RunningWork {
  readonly node: string;
  readonly team: TeamId;
  readonly attemptId: AttemptId;
}

export interface FleetNode {
  readonly name: string;
  readonly zone: string;
  readonly life: number;
  readonly state: State;
  /** The node's own clock is this far from virtual time. */
  readonly clockOffsetMs: number;
  readonly invariants: readonly Invariant[];
  alive: boolean;
  paused: boolean;
  cut: boolean;
  inbox: ((atMs: number) => Event)[];
}

/** Who a test node is. */
export type FleetPlace = Pick<FleetNode, "name" | "zone" | "life" | "clockOffsetMs">;

/**
 * @param place - Who the node is.
 * @param seed - Seed of its random numbers.
 * @param nowMs - Its own clock.
 * @returns An entry host that knows nothing yet.
 */
export const makeNode = (place: FleetPlace, seed: number, nowMs: number): FleetNode => {
  const identity = {
    role: "entry" as const,
    entryHostId: entryHostId(place.name),
    availabilityZone: availabilityZoneId(place.zone),
    incarnation: incarnation(`i${place.life}`),
    callerAddress: address("127.0.0.1:1"),
    peerAddress: address("127.0.0.1:2"),
  };
  const state = initialState(identity, seed, nowMs);
  const invariants = cheapInvariants();
  return { ...place, state, invariants, alive: true, paused: false, cut: false, inbox: [] };
};

/**
 * @param zone - A zone.
 * @param slots - Its slots.
 * @returns The one target host of the zone.
 */
export const hostRow = (zone: string, slots: number): HostRow => ({
  type: "host",
  hostId: hostId(`t-${zone}`),
  availabilityZone: availabilityZoneId(zone),
  rack: rackId("r1"),
  pool: poolId("p"),
  address: address("127.0.0.1:3"),
  slots,
  phase: "inService",
  drainEpoch: 0,
  drainReason: null,
  moveTo: null,
  waveId: null,
});

/**
 * @param node - A node.
 * @param event - What happened to it.
 * @param effects - What it decided.
 * @throws Error when one of its invariants is broken.
 */
export const assertInvariants = (
  node: FleetNode,
  event: Event,
  effects: readonly Effect[],
): void => {
  for (const invariant of node.invariants) {
    const violation = invariant.violation(event, effects, node.state);
    if (violation !== null) {
      throw new Error(`${node.name}: ${invariant.name}: ${violation}`);
    }
  }
};
