import { rmSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { EXIT_CODE, loadSettings, SETTINGS_ERROR_KIND, SettingsError } from "@heatherferry/common";
import { Command, Option } from "clipanion";
import { buildDeployed } from "../soak/deployFile.js";
import { Soak } from "../soak/soak.js";
import { SOAK_SETTINGS } from "./soakSettings.js";
import { StandInCommand } from "./standInCommand.js";

const DEPLOY_FILE = fileURLToPath(new URL("../../../../../deploy/system.toml", import.meta.url));

const wholeNumber = (option: string, text: string): number => {
  if (!/^\d{1,9}$/.test(text)) {
    throw new SettingsError(
      SETTINGS_ERROR_KIND.INVALID,
      `${option} ${text} is not a whole number`,
      "Pass a number from 0 to 999999999",
    );
  }
  return Number(text);
};

/** `heatherferry-standins soak`: runs real processes under a drawn load and drawn faults. */
export class SoakCommand extends StandInCommand {
  static override paths = [["soak"]];
  static override usage = Command.Usage({
    description: "runs real processes of the product beside stand-ins and checks the users' rules",
    details:
      "Settings: [site] zones, nodes_per_zone, cores_per_node, commit_ms, lead_ms, traffic_ms, settle_ms, turn_ms, turn_factor, rest_factor; [[pools]], [[teams]], [[kinds]], [[faults]]. Writes one JSON report a seed to standard output and exits with 1 after a finding; the logs of such a run are kept.",
    examples: [
      [
        "Run seeds 1 to 50",
        "heatherferry-standins soak --settings apps/standins/soaks/fourPools.toml --seeds 50",
      ],
    ],
  });

  seed = Option.String("--seed", "1", { description: "First seed" });
  seeds = Option.String("--seeds", "1", { description: "Number of seeds, run one after another" });
  deploy = Option.String("--deploy", DEPLOY_FILE, {
    description: "Deploy file of the product to run; its build runs first",
  });

  keepLogs = Option.Boolean("--keep-logs", false, {
    description: "Keep the logs of all seeds, not only of those with findings",
  });

  protected override async runStandIn(): Promise<number> {
    if (this.settings === undefined) {
      throw new SettingsError(
        SETTINGS_ERROR_KIND.INVALID,
        "A soak needs the shape of a site",
        "Pass a TOML file with --settings; apps/standins/soaks has examples",
      );
    }
    const plan = loadSettings(this.settings, SOAK_SETTINGS);
    const first = wholeNumber("--seed", this.seed);
    const count = wholeNumber("--seeds", this.seeds);
    const program = buildDeployed(this.deploy);
    let exitCode: number = EXIT_CODE.OK;
    for (let seed = first; seed < first + count; seed += 1) {
      const soak = new Soak(plan, seed);
      const report = await soak.run(program);
      const failed = report.findings.length > 0;
      exitCode = failed ? EXIT_CODE.FAILED : exitCode;
      const keepsLogs = failed || this.keepLogs;
      if (!keepsLogs) {
        rmSync(soak.folder, { recursive: true, force: true });
      }
      const logs = keepsLogs ? { logs: soak.folder } : {};
      process.stdout.write(`${JSON.stringify({ ...report, ...logs })}\n`);
    }
    return exitCode;
  }
}
