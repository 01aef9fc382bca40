import { Command } from "clipanion";
import { PlatformStandIn } from "../platform/platformStandIn.js";
import { TargetHostPower } from "../platform/targetHostPower.js";
import { PLATFORM_SETTINGS, settingsOrDefaults } from "./settings.js";
import { StandInCommand } from "./standInCommand.js";

/** `heatherferry-standins platform`: runs a platform stand-in until a stop signal. */
export class PlatformCommand extends StandInCommand {
  static override paths = [["platform"]];
  static override usage = Command.Usage({
    description:
      "simulates the platform's table, host list and objects, and injects faults on request",
    details: "Settings: [listen] host, port; [table] clock_offset_ms",
    examples: [
      ["Listen on a port that the operating system picks", "heatherferry-standins platform"],
    ],
  });

  protected override async runStandIn(): Promise<number> {
    const { listen, table } = settingsOrDefaults(this.settings, PLATFORM_SETTINGS);
    const platform = new PlatformStandIn(new TargetHostPower(), table.clock_offset_ms);
    return this.serve(platform, listen.host, listen.port);
  }
}
