import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import type { State } from "../state.js";

/** A condition that must hold after every event, checked outside the reducer. */
export abstract class Invariant {
  /** Name of the invariant in reports, metrics and log lines. */
  abstract readonly name: string;

  /**
   * Checks the invariant after one event. Must be called for every event, in order, since an
   * invariant may keep state between events.
   *
   * @param event - The event that was handled.
   * @param effects - The effects that the reducer returned for it.
   * @param state - The state after the event; not modified.
   * @returns A description of the violation, or null if the invariant holds.
   */
  abstract violation(event: Event, effects: readonly Effect[], state: State): string | null;
}
