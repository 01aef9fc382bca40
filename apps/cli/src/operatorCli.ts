import { EXIT_CODE } from "@heatherferry/common";
import { Builtins, Cli, type Command } from "clipanion";
import type { CommandEnvironment, OperatorContext } from "./commands/commandEnvironment.js";
import { EvacuationsCommand } from "./commands/evacuationsCommand.js";
import { ExplainRunCommand } from "./commands/explainRunCommand.js";
import {
  DrainCommand,
  ExplainCommand,
  StatusCommand,
  UndrainCommand,
  WaveCommand,
  WavePauseCommand,
  WaveResumeCommand,
} from "./commands/fleetCommands.js";
import { KeysGrantCommand, KeysWithdrawCommand } from "./commands/keyCommands.js";
import {
  ApplyCommand,
  AuditCommand,
  CheckCommand,
  DiffCommand,
  ShowCommand,
} from "./commands/rulesCommands.js";

import { TraceCommand } from "./commands/traceCommand.js";

const COMMANDS = [
  Builtins.HelpCommand,
  CheckCommand,
  DiffCommand,
  ApplyCommand,
  ShowCommand,
  AuditCommand,
  KeysGrantCommand,
  KeysWithdrawCommand,
  StatusCommand,
  ExplainCommand,
  ExplainRunCommand,
  DrainCommand,
  UndrainCommand,
  WaveCommand,
  WavePauseCommand,
  WaveResumeCommand,
  TraceCommand,
  EvacuationsCommand,
] as const;

/** Command-line interface for operators, with all commands. */
export class OperatorCli {
  private readonly cli = new Cli<OperatorContext>({
    binaryLabel: "heatherferry: fleet capacity and maintenance",
    binaryName: "heatherferry",
    enableColors: false,
  });

  /**
   * @param environment - Access of the commands to the platform and to randomness.
   * @param streams - Streams and environment variables of the process.
   */
  constructor(
    private readonly environment: CommandEnvironment,
    private readonly streams: Pick<OperatorContext, "stdin" | "stdout" | "stderr" | "env">,
  ) {
    for (const command of COMMANDS) {
      this.cli.register(command);
    }
  }

  /**
   * Parses the arguments and runs the command.
   *
   * @param input - Arguments without the program's name.
   * @returns The exit code.
   */
  async run(input: readonly string[]): Promise<number> {
    const context: OperatorContext = {
      ...this.streams,
      colorDepth: 1,
      environment: this.environment,
    };
    const command = this.parse(input, context);
    return command === null ? EXIT_CODE.BAD_INPUT : await this.cli.run(command, context);
  }

  private parse(
    input: readonly string[],
    context: OperatorContext,
  ): Command<OperatorContext> | null {
    try {
      return this.cli.process([...input], context);
    } catch (error) {
      const parseError = error instanceof Error ? error : new Error(String(error));
      context.stderr.write(this.cli.error(parseError, { colored: false }));
      return null;
    }
  }
}
