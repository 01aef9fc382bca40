import type { RandomGenerator } from "pure-rand";
import type { FleetState } from "./fleet/types.js";
import type { LimitsState } from "./limits/types.js";
import type { MembershipState } from "./membership/types.js";
import type { NodeState } from "./node/types.js";
import type { PeersState } from "./peers/types.js";
import type { PlatformState } from "./platform/types.js";
import type { QueuesState } from "./queues/types.js";
import type { RequestsState } from "./requests/types.js";
import type { RevisionsState } from "./revisions/types.js";
import type { RoutingState } from "./routing/types.js";
import type { TicketsState } from "./tickets/types.js";
import type { WavesState } from "./waves/types.js";
import type { WorkloadState } from "./work/state.js";

/**
 * The state of a node. Only the reducer writes to it, and it does so in place: copying a map for
 * every request would cost more than making the decision.
 */
export interface State {
  nowMs: number;
  random: RandomGenerator;
  node: NodeState;
  platform: PlatformState;
  revisions: RevisionsState;
  membership: MembershipState;
  requests: RequestsState;
  queues: QueuesState;
  limits: LimitsState;
  tickets: TicketsState;
  routing: RoutingState;
  peers: PeersState;
  fleet: FleetState;
  waves: WavesState;
  /** Set on nodes that serve submissions, which leave the slices above unused; else null. */
  work: WorkloadState | null;
}
