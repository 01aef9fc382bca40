import type { JsonLogger } from "@heatherferry/common";
import type { Effect } from "@heatherferry/core";
import { EffectRunner, type FleetRunner, type TableRunner } from "@heatherferry/runners";

/** Ends the process once its leases are released. */
export abstract class ExitSwitch {
  abstract exit(): void;
}

/** The parts that carry out a maintainer's effects. */
export interface MaintainerParts {
  readonly log: JsonLogger;
  readonly table: TableRunner;
  readonly fleet: FleetRunner;
  readonly exitSwitch: ExitSwitch;
}

/** Hands each effect to the part that carries it out. */
export class MaintainerEffects extends EffectRunner {
  constructor(private readonly parts: MaintainerParts) {
    super();
  }

  override run(effect: Effect): void {
    const { log, table, fleet, exitSwitch } = this.parts;
    switch (effect.type) {
      case "table/read":
        void table.read(effect.ranges);
        return;
      case "table/write":
        void table.write(effect.write);
        return;
      case "hosts/list":
        void fleet.list();
        return;
      case "host/reboot":
        void fleet.reboot(effect.hostId);
        return;
      case "rules/inForce":
        log("info", "rules.inForce", { revision: effect.revision });
        return;
      case "log/write":
        log(effect.level, effect.event, effect.fields);
        return;
      case "node/exit":
        exitSwitch.exit();
        return;
      default:
        log("error", "effect.notCarriedOut", { type: effect.type });
    }
  }
}
