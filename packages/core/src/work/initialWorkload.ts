import { DueQueue } from "@heatherferry/coordination";
import { newAdmissionState } from "./admission/index.js";
import { HELD } from "./constants.js";
import { newEvacuations } from "./evacuation/index.js";
import type { FeedState, WorkIdentity, WorkloadState } from "./state.js";
import { indexCatalog } from "./store/catalog.js";
import type { StoreVersion, WorkBounds } from "./types.js";

const newFeed = (): FeedState => ({
  after: null,
  sentAtMs: null,
  retryAtMs: 0,
  viewAtMs: null,
  viewStoreMs: null,
  scanning: false,
});

/**
 * Creates the state of a node that has received no events.
 *
 * @param identity - How the owner row names the node.
 * @param bounds - Bounds from the settings.
 * @param processorMilli - Processor time that the node may use, in thousandths of a core.
 * @param heldBudgetBytes - Memory that submissions may take while the node is the owner.
 */
export const initialWorkloadState = (
  identity: WorkIdentity,
  bounds: WorkBounds,
  processorMilli: number,
  heldBudgetBytes: number = HELD.DEFAULT_BUDGET_BYTES,
): WorkloadState => ({
  identity,
  bounds,
  processorMilli,
  wallOffsetMs: null,
  clockJumpedAtMs: -Infinity,
  catalog: null,
  catalogIndex: indexCatalog(null),
  feeds: { operators: newFeed(), workers: newFeed(), handIns: newFeed() },
  waveRequests: new Map(),
  evacuations: newEvacuations(),
  heldBudgetBytes,
  calls: new Map(),
  callOfCommit: new Map(),
  callsDue: new DueQueue(),
  claimsAllowedFromMs: -Infinity,
  ownerView: {
    row: null,
    version: 0 as StoreVersion,
    unchangedSinceMs: 0,
    viewAtMs: null,
    viewStoreMs: null,
    pollSentAtMs: null,
    nextPollAtMs: 0,
    claim: null,
    claimAtMs: null,
  },
  owned: null,
  ready: false,
  storeLost: false,
  storeAnsweredAtMs: null,
  shutdownRequestedAtMs: null,
  frontEndClosed: false,
  nextCommit: 1,
  nextHostOrder: 1,
  tickedAtMs: -Infinity,
  wakeAtMs: null,
  lag: { smoothedMs: 0, loggedAtMs: -Infinity, lateTicks: 0, worstMs: 0 },
  handlingCost: { steps: 0 },
  admission: newAdmissionState(),
});
