import {
  createLogger,
  EXIT_CODE,
  messageOf,
  SETTINGS_ERROR_KIND,
  SettingsError,
  type JsonLogger,
} from "@heatherferry/common";
import { Command, Option } from "clipanion";
import type { HttpStandIn } from "../http/httpStandIn.js";
import { PROGRAM, SHUTDOWN } from "./constants.js";

/** Resolves at the first SIGTERM or SIGINT. */
const stopSignal = async (): Promise<NodeJS.Signals> =>
  new Promise((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });

/** Base class of the commands: options, logging, exit codes and shutdown on a signal. */
export abstract class StandInCommand extends Command {
  settings = Option.String("--settings", {
    description: "TOML file with the settings; without it the defaults apply",
  });
  port = Option.String("--port", {
    description: "Port to listen on; overrides the port of the file",
  });

  protected readonly log: JsonLogger = createLogger(PROGRAM);

  override async execute(): Promise<number> {
    try {
      return await this.runStandIn();
    } catch (error) {
      if (error instanceof SettingsError) {
        process.stderr.write(`${error.message}\n`);
        return EXIT_CODE.BAD_INPUT;
      }
      this.log("error", "failed", { reason: messageOf(error) });
      return EXIT_CODE.FAILED;
    }
  }

  /**
   * Reads the settings, starts the stand-in and waits until it ends.
   *
   * @returns The exit code of the program.
   */
  protected abstract runStandIn(): Promise<number>;

  /** Listens until SIGTERM or SIGINT, then shuts down gracefully. */
  protected async serve(standIn: HttpStandIn, host: string, port: number): Promise<number> {
    await this.listen(standIn, host, port);
    const signal = await stopSignal();
    this.log("info", "shuttingDown", { signal });
    await standIn.close(SHUTDOWN.GRACE_MS);
    return EXIT_CODE.OK;
  }

  /** Starts to listen and logs the address. */
  protected async listen(standIn: HttpStandIn, host: string, port: number): Promise<void> {
    const address = await standIn.listen(this.portOrDefault(port), host);
    this.log("info", "listening", { address });
  }

  private portOrDefault(defaultPort: number): number {
    if (this.port === undefined) {
      return defaultPort;
    }
    if (!/^\d{1,5}$/.test(this.port) || Number(this.port) > 65_535) {
      throw new SettingsError(
        SETTINGS_ERROR_KIND.INVALID,
        `--port ${this.port} is not a valid port`,
        "Pass a number from 0 to 65535; 0 lets the operating system pick",
      );
    }
    return Number(this.port);
  }
}
