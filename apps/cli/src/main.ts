#!/usr/bin/env node
import { ProcessEnvironment } from "./commands/processEnvironment.js";
import { OperatorCli } from "./operatorCli.js";

const { stdin, stdout, stderr, env } = process;
const cli = new OperatorCli(new ProcessEnvironment(), { stdin, stdout, stderr, env });
process.exitCode = await cli.run(process.argv.slice(2));
