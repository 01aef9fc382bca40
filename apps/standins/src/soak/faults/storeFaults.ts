import type { PlannedFault } from "../types.js";
import { PassingFault, SoakFault } from "./soakFault.js";

export class SilenceStore extends SoakFault {
  override begin(): void {
    this.site.store.isSilent = true;
  }

  override end(): void {
    this.site.store.isSilent = false;
  }
}

export class SlowStore extends SoakFault {
  override begin({ strength }: PlannedFault): void {
    this.site.store.answerDelayMs = strength;
  }

  override end(): void {
    this.site.store.answerDelayMs = 0;
  }
}

export class DropHistory extends PassingFault {
  override begin(): void {
    this.site.store.dropHistory();
  }
}

/** Writes new configurations with ever more idle queues; the strength is how many. */
export class ChangeConfig extends PassingFault {
  override begin({ atMs, untilMs, strength }: PlannedFault): void {
    const times = Math.max(1, Math.round(strength));
    for (let index = 0; index < times; index += 1) {
      setTimeout(
        () => {
          this.site.writeConfig({ idleQueues: index });
        },
        (index * (untilMs - atMs)) / times,
      );
    }
  }
}

export class LowerCeilings extends SoakFault {
  override begin({ strength }: PlannedFault): void {
    this.site.writeConfig({ ceilingFactor: strength });
  }

  override end(): void {
    this.site.writeConfig({});
  }
}

/** Operators empty a zone, and take it back at the end. */
export class EvacuateZone extends SoakFault {
  override begin(fault: PlannedFault): void {
    this.site.setEvacuated(fault, true);
  }

  override end(fault: PlannedFault): void {
    this.site.setEvacuated(fault, false);
  }
}

/** Asks for the maintenance of hosts within the fault's time. */
export class RequestWave extends PassingFault {
  override begin({ atMs, untilMs, strength, draw }: PlannedFault): void {
    this.site.requestWave(strength, draw, untilMs - atMs);
  }
}
