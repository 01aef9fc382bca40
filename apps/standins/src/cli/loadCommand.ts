import { EXIT_CODE } from "@heatherferry/common";
import { Command } from "clipanion";
import { CallerLoad } from "../load/callerLoad.js";
import { LoadControl } from "../load/loadControl.js";
import { LOAD_SETTINGS, loadPlanOf, settingsOrDefaults } from "./settings.js";
import { StandInCommand } from "./standInCommand.js";

/** `heatherferry-standins load`: sends the planned requests and prints a report. */
export class LoadCommand extends StandInCommand {
  static override paths = [["load"]];
  static override usage = Command.Usage({
    description:
      "sends the requests of several teams, then writes a JSON report to standard output",
    details:
      "Settings: [listen] host, port; [load] entry_hosts, duration_ms, seed; [[streams]] team, secret, queue, mean_per_second, phases, idempotent_fraction, work_ms, work_jitter_ms, body_bytes, answer_bytes, timeout_ms",
    examples: [
      ["Send the load that a file describes", "heatherferry-standins load --settings load.toml"],
    ],
  });

  protected override async runStandIn(): Promise<number> {
    const settings = settingsOrDefaults(this.settings, LOAD_SETTINGS);
    const load = new CallerLoad(loadPlanOf(settings));
    const control = new LoadControl(load);
    await this.listen(control, settings.listen.host, settings.listen.port);
    process.once("SIGTERM", () => {
      load.stop();
    });
    process.once("SIGINT", () => {
      load.stop();
    });
    const report = await load.run();
    process.stdout.write(`${JSON.stringify(report)}\n`);
    await control.close();
    return EXIT_CODE.OK;
  }
}
