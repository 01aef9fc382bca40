import { parseArgs } from "node:util";
import { EXIT_CODE, messageOf, SettingsError } from "@heatherferry/common";

/** A daemon that has started. */
export interface RunningDaemon {
  /** Begins a graceful shutdown. */
  readonly shutDown: () => void;
  /** Resolves when the daemon has ended. */
  readonly ended: Promise<void>;
}

/** One of the daemons, as its main module runs it. */
export abstract class DaemonProgram<Settings> {
  /** Name of the binary. */
  abstract readonly name: string;
  /** What `--help` prints. */
  abstract readonly usage: string;

  /**
   * @param path - Path of the settings file.
   * @returns The checked settings.
   * @throws SettingsError naming the file, the keys and the remedy.
   */
  abstract load(path: string): Settings;

  /** @param settings - Checked settings. */
  abstract start(settings: Settings): Promise<RunningDaemon>;

  /** @returns The settings file to read when none is named; null where there is none. */
  defaultSettingsPath(): string | null {
    return null;
  }

  /** Reads the arguments, runs the daemon to its end and exits the process. */
  async run(): Promise<never> {
    const daemon = await this.start(this.readSettings());
    process.once("SIGTERM", daemon.shutDown);
    process.once("SIGINT", daemon.shutDown);
    await daemon.ended;
    process.exit(EXIT_CODE.OK);
  }

  private readSettings(): Settings {
    try {
      const path = this.settingsPath();
      if (path !== null) {
        return this.load(path);
      }
      process.stderr.write(
        `No settings file was named. Pass one with --settings.\n\n${this.usage}`,
      );
    } catch (error) {
      const prefix = error instanceof SettingsError ? "" : `${this.name}: `;
      process.stderr.write(`${prefix}${messageOf(error)}\n`);
    }
    process.exit(EXIT_CODE.BAD_INPUT);
  }

  private settingsPath(): string | null {
    const { values } = parseArgs({
      options: { settings: { type: "string" }, help: { type: "boolean", short: "h" } },
    });
    if (values.help === true) {
      process.stdout.write(this.usage);
      process.exit(EXIT_CODE.OK);
    }
    return values.settings ?? this.defaultSettingsPath();
  }
}
