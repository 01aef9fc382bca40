import type { FleetEvent } from "./fleet/types.js";
import type { NodeEvent } from "./node/types.js";
import type { PeersEvent } from "./peers/types.js";
import type { PlatformEvent } from "./platform/types.js";
import type { RequestsEvent } from "./requests/types.js";
import type { TicketsEvent } from "./tickets/types.js";
import type { WorkEvent } from "./work/events.js";

/** An input of the reducer. Times are on the node's own monotonic clock unless named otherwise. */
export type Event =
  NodeEvent | PlatformEvent | RequestsEvent | TicketsEvent | PeersEvent | FleetEvent | WorkEvent;
