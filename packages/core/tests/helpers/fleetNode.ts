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
  constantTimeInvariants,
  initialState,
  type Effect,
  type Event,
  type HostRow,
  type Invariant,
  type State,
} from "../../src/index.js";

/** Work on a target, which runs to its end even if its entry host is killed. */
export interface RunningWork {
  readonly node: string;
  readonly team: TeamId;
  readonly attemptId: AttemptId;
}

/** A simulated entry host. */
export interface FleetNode {
  readonly name: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly state: State;
  /** Offset of the node's clock from virtual time. */
  readonly clockOffsetMs: number;
  readonly invariants: readonly Invariant[];
  alive: boolean;
  /** Whether the process is suspended; its events are then queued. */
  paused: boolean;
  /** Whether the node cannot reach the table. */
  disconnected: boolean;
  /** Events that arrived while the node was paused, in order. */
  queuedEvents: ((atMs: number) => Event)[];
}

/** Identity and clock offset of a simulated entry host. */
export type FleetNodeIdentity = Pick<FleetNode, "name" | "zone" | "incarnation" | "clockOffsetMs">;

/**
 * Creates an entry host in its initial state.
 *
 * @param identity - Identity and clock offset of the node.
 * @param seed - Seed of its random numbers.
 * @param nowMs - The time on its own clock.
 * @returns The node.
 */
export const createFleetNode = (
  identity: FleetNodeIdentity,
  seed: number,
  nowMs: number,
): FleetNode => {
  const nodeIdentity = {
    role: "entry" as const,
    entryHostId: entryHostId(identity.name),
    availabilityZone: availabilityZoneId(identity.zone),
    incarnation: incarnation(`i${identity.incarnation}`),
    callerAddress: address("127.0.0.1:1"),
    peerAddress: address("127.0.0.1:2"),
  };
  const state = initialState(nodeIdentity, seed, nowMs);
  const invariants = constantTimeInvariants();
  return {
    ...identity,
    state,
    invariants,
    alive: true,
    paused: false,
    disconnected: false,
    queuedEvents: [],
  };
};

/**
 * Creates the row of a zone's only target host.
 *
 * @param zone - A zone.
 * @param slots - Its slots.
 * @returns The row.
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
 * Checks a node's invariants after an event.
 *
 * @param node - The node.
 * @param event - The event that it handled.
 * @param effects - The effects of that event.
 * @throws Error when an invariant does not hold.
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
