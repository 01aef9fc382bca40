import type { SoakSite } from "../soakSite.js";
import type { PlannedFault } from "../types.js";

/** Brings about one kind of fault from outside the processes. */
export abstract class SoakFault {
  constructor(protected readonly site: SoakSite) {}

  /** Strikes. */
  abstract begin(fault: PlannedFault): void;

  /** Ends what lasts. */
  abstract end(fault: PlannedFault): void;
}

/** A fault that ends by itself. */
export abstract class PassingFault extends SoakFault {
  override end(): void {
    // Nothing lasts.
  }
}

/** A fault that only the traffic shows. */
export class TrafficFault extends PassingFault {
  override begin(): void {
    // The reducer draws other submissions meanwhile.
  }
}
