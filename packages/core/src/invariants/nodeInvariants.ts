import { EscrowRowsAddUp, StartsWithinGrant } from "../limits/limitInvariants.js";
import type { Invariant } from "./invariant.js";
import {
  NonIdempotentOnce,
  NotRunIsTrue,
  OneOutcome,
  WorkOnlyForKeyTeam,
} from "./requestInvariants.js";
import {
  LeavingTargetGetsNothingNew,
  RevisionNeverReverts,
  SlotsAddUp,
} from "./routingInvariants.js";

/** @returns The invariants of one node whose cost does not grow with the size of its state. */
export const constantTimeInvariants = (): Invariant[] => [
  new NotRunIsTrue(),
  new NonIdempotentOnce(),
  new OneOutcome(),
  new LeavingTargetGetsNothingNew(),
  new RevisionNeverReverts(),
  new StartsWithinGrant(),
  new EscrowRowsAddUp(),
];

/** @returns All invariants of one node, including those that scan the whole state. */
export const allInvariants = (): Invariant[] => [
  ...constantTimeInvariants(),
  new WorkOnlyForKeyTeam(),
  new SlotsAddUp(),
];
