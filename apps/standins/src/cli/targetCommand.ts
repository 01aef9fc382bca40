import { Command } from "clipanion";
import { TargetFleet } from "../target/targetFleet.js";
import { fleetPlanOf, settingsOrDefaults, TARGET_SETTINGS } from "./settings.js";
import { StandInCommand } from "./standInCommand.js";

/** `heatherferry-standins target`: runs a fleet of targets until a stop signal. */
export class TargetCommand extends StandInCommand {
  static override paths = [["target"]];
  static override usage = Command.Usage({
    description: "runs the targets of one availability zone, each on its own port",
    details:
      "Settings: [listen] host, port (control); [targets] availability_zone, services, per_service, slots, hosts_per_rack",
    examples: [["Run one target with 8 slots", "heatherferry-standins target"]],
  });

  protected override async runStandIn(): Promise<number> {
    const settings = settingsOrDefaults(this.settings, TARGET_SETTINGS);
    const fleet = new TargetFleet(fleetPlanOf(settings));
    return this.serve(fleet, settings.listen.host, settings.listen.port);
  }
}
