import { OWNERSHIP } from "./constants.js";
import type { OwnedWork } from "./state.js";
import type { Turn } from "./turn.js";

/** @returns Until when no other node can have taken over, on this node's steady clock. */
export const sureUntilMs = (owned: OwnedWork): number => owned.confirmedAtMs + OWNERSHIP.SURE_MS;

/** @returns Whether no other node can have taken over since the last confirmed write. */
export const isSure = (turn: Turn, owned: OwnedWork): boolean =>
  owned.active && !owned.releasing && turn.nowMs <= sureUntilMs(owned);
