import {
  DaemonEffects,
  type DaemonParts,
  type FleetRunner,
  type OwnEffect,
} from "@heatherferry/runners";

/** The parts that carry out a maintainer's effects. */
export interface MaintainerParts extends DaemonParts {
  readonly fleet: FleetRunner;
}

/** Hands each effect to the part that carries it out. */
export class MaintainerEffects extends DaemonEffects {
  constructor(private readonly parts: MaintainerParts) {
    super(parts);
  }

  protected override runOwn(effect: OwnEffect): void {
    const { fleet } = this.parts;
    switch (effect.type) {
      case "hosts/list":
        void fleet.list();
        return;
      case "host/reboot":
        void fleet.reboot(effect.hostId);
        return;
      default:
        this.notOfThisRole(effect);
    }
  }
}
