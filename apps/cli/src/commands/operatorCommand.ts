import { EXIT_CODE, HeatherferryError } from "@heatherferry/common";
import { Command, Option } from "clipanion";
import type { Operation } from "../operation/operation.js";
import type { ExitCode } from "../operation/types.js";
import type { Author } from "../rulesChange/planRulesChange.js";
import { CommandRunner } from "../runner/commandRunner.js";
import { StreamTerminal } from "../runner/streamTerminal.js";
import {
  operatorName,
  platformOrigin,
  type SettingsSources,
} from "../settings/operatorSettings.js";
import type { OperatorContext } from "./commandEnvironment.js";

/** Base of all operator commands; prints expected errors with their remedy. */
export abstract class OperatorCommand extends Command<OperatorContext> {
  /** @returns The exit code, when the command has finished. */
  protected abstract carryOut(): Promise<ExitCode> | ExitCode;

  override async execute(): Promise<ExitCode> {
    try {
      return await this.carryOut();
    } catch (error) {
      if (error instanceof HeatherferryError) {
        this.context.stderr.write(`${error.message}\n`);
        return EXIT_CODE.BAD_INPUT;
      }
      throw error;
    }
  }
}

/** Base of the commands that read the platform's table. */
export abstract class PlatformCommand extends OperatorCommand {
  platform = Option.String("--platform", {
    description: "Origin of the platform's table service, http://HOST:PORT",
  });

  settings = Option.String("--settings", {
    description: "TOML file with origin under [platform], and by",
  });

  /**
   * Creates the first operation of the command.
   *
   * @throws HeatherferryError if the command line is invalid.
   */
  protected abstract createOperation(): Operation;

  protected sources(by?: string): SettingsSources {
    return { settingsPath: this.settings, platform: this.platform, by, env: this.context.env };
  }

  protected override async carryOut(): Promise<ExitCode> {
    const { environment, stdout, stderr } = this.context;
    const operation = this.createOperation();
    const table = environment.openTable(platformOrigin(this.sources()), (key) => {
      stderr.write(`Row ${key} cannot be read by this build and is left out.\n`);
    });
    const terminal = new StreamTerminal(stdout, stderr);
    try {
      return await new CommandRunner(table, terminal, environment.newInvocation()).run(operation);
    } finally {
      await table.close();
    }
  }
}

/** Base of the commands that change the rules. */
export abstract class RulesCommand extends PlatformCommand {
  by = Option.String("--by", {
    description: "Who makes the change; by default from the settings, or $USER",
  });

  protected author(): Author {
    return { name: operatorName(this.sources(this.by)), atMs: Date.now() };
  }
}
