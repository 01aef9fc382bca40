import type { FleetEffect } from "./fleet/types.js";
import type { NodeEffect } from "./node/types.js";
import type { PeersEffect } from "./peers/types.js";
import type { PlatformEffect } from "./platform/types.js";
import type { RequestsEffect } from "./requests/types.js";
import type { RevisionsEffect } from "./revisions/types.js";
import type { TicketsEffect } from "./tickets/types.js";
import type { WorkEffect } from "./work/events.js";

/** An action that a node can take, as data: the reducer returns it, a runner carries it out. */
export type Effect =
  | NodeEffect
  | PlatformEffect
  | RequestsEffect
  | RevisionsEffect
  | TicketsEffect
  | PeersEffect
  | FleetEffect
  | WorkEffect;
