import type { AvailabilityZoneId, ValueOf } from "@heatherferry/common";
import type { StoreVersion, WorkerId } from "../types.js";
import type { EVACUATION_STATE } from "./constants.js";

/** A request of the operators to evacuate an availability zone. */
export interface EvacuationRequest {
  readonly zone: AvailabilityZoneId;
  /** Version of its row, which tells it from an earlier request for the zone. */
  readonly version: StoreVersion;
  /** When this node first saw it, on its monotonic clock and on the wall clock. */
  readonly seenAtMs: number;
  readonly seenWallMs: number;
}

/** The requests that are in force, and the zones that return. */
export interface Evacuations {
  readonly requests: Map<AvailabilityZoneId, EvacuationRequest>;
  /** When the request for each zone that returns was found removed. */
  readonly returns: Map<AvailabilityZoneId, number>;
}

/** What the decisions need to know of a worker. */
export interface ZonedWorker {
  readonly id: WorkerId;
  readonly availabilityZone: AvailabilityZoneId;
}

export type EvacuationState = ValueOf<typeof EVACUATION_STATE>;

/** What still runs in a zone, by what it waits for. */
export interface RemainingWork {
  readonly workers: number;
  /** Batch work, which stays until it ends. */
  readonly batchRuns: number;
  /** Long-running work that has its next place and is about to move. */
  readonly movingRuns: number;
  /** Long-running work that waits because enough of its step is unavailable already. */
  readonly heldRuns: number;
  /** Long-running work that no worker outside has room for. */
  readonly unplacedRuns: number;
}

/** The stored state of an evacuation, which the operators read. */
export interface EvacuationReport extends RemainingWork {
  readonly zone: AvailabilityZoneId;
  readonly state: EvacuationState;
  /** Version of the request that it describes. */
  readonly requestVersion: StoreVersion;
  /** Wall-clock time at which an owner first saw the request. */
  readonly sinceWallMs: number;
}

/** A report, and whether the store has it yet. */
export interface EvacuationRecord {
  report: EvacuationReport;
  dirty: boolean;
}
