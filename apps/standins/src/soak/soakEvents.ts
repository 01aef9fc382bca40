import type { SoakEvent } from "./types.js";

type Untimed<Event> = Event extends unknown ? Omit<Event, "atMs"> : never;

export type UntimedSoakEvent = Untimed<SoakEvent>;

/** Takes the events of a soak; it adds the time. */
export abstract class SoakEvents {
  abstract handle(event: UntimedSoakEvent): void;
}
