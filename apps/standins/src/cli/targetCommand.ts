import { Command } from "clipanion";
import { TargetFleet } from "../target/targetFleet.js";
import { fleetPlanOf, settingsOrDefaults, TARGET_SETTINGS } from "./settings.js";
import { StandInCommand } from "./standInCommand.js";

/** `heatherferry-standins target` */
export class TargetCommand extends StandInCommand {
  static override paths = [["target"]];
  static override usage = Command.Usage({
    description: "targets of one availability zone, each on a port of its own",
    details:
      "Settings: [listen] host, port (control); [targets] availability_zone, services, per_service, slots, hosts_per_rack",
    examples: [["One target of 8 slots", "heatherferry-standins target"]],
  });

  protected override async runStandIn(): Promise<number> {
    const settings = settingsOrDefaults(this.settings, TARGET_SETTINGS);
    const fleet = new TargetFleet(fleetPlanOf(settings));
    return this.serve(fleet, settings.listen.host, settings.listen.port);
  }
}
