import {
  DaemonEffects,
  type DaemonParts,
  type FleetRunner,
  type RoleEffect,
} from "@heatherferry/runners";

/** Components that execute the effects of a maintainer. */
export interface MaintainerParts extends DaemonParts {
  readonly fleet: FleetRunner;
}

/** Dispatches each effect of a maintainer to the component that executes it. */
export class MaintainerEffects extends DaemonEffects {
  constructor(private readonly parts: MaintainerParts) {
    super(parts);
  }

  protected override runRoleEffect(effect: RoleEffect): void {
    const { fleet } = this.parts;
    switch (effect.type) {
      case "hosts/list":
        void fleet.list();
        return;
      case "host/reboot":
        void fleet.reboot(effect.hostId);
        return;
      default:
        this.reportUnsupported(effect);
    }
  }
}
