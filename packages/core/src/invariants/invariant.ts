import type { Effect } from "../effect.js";
import type { Event } from "../event.js";
import type { State } from "../state.js";

/** Something that must hold after every event, judged from outside the reducer. */
export abstract class Invariant {
  /** Name in reports, metrics and log lines. */
  abstract readonly name: string;

  /**
   * Follows one event.
   *
   * @param event - What happened.
   * @param effects - What was decided.
   * @param state - The state after it; only read.
   * @returns What is broken, or null.
   */
  abstract violation(event: Event, effects: readonly Effect[], state: State): string | null;
}
