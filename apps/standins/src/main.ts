#!/usr/bin/env node
import { EXIT_CODE } from "@heatherferry/common";
import { Builtins, Cli } from "clipanion";
import { PROGRAM } from "./cli/constants.js";
import { LoadCommand } from "./cli/loadCommand.js";
import { PlatformCommand } from "./cli/platformCommand.js";
import { SoakCommand } from "./cli/soakCommand.js";
import { TargetCommand } from "./cli/targetCommand.js";

const cli = new Cli({
  binaryName: PROGRAM,
  binaryLabel: "Stand-ins for tests, the demo and load tests",
});
cli.register(Builtins.HelpCommand);
cli.register(PlatformCommand);
cli.register(TargetCommand);
cli.register(LoadCommand);
cli.register(SoakCommand);

const run = async (): Promise<number> => {
  const args = process.argv.slice(2);
  try {
    const command = cli.process(args);
    return await cli.run(command);
  } catch (error) {
    process.stderr.write(cli.error(error));
    return EXIT_CODE.BAD_INPUT;
  }
};

process.exitCode = await run();
