import { parseArgs } from "node:util";
import { EXIT_CODE, messageOf, SettingsError, type JsonLogger } from "@heatherferry/common";
import { RELOAD_CAUSE, SettingsConsumer, SettingsWatch } from "./settingsWatch.js";

/** A daemon that has started. */
export interface RunningDaemon<Settings> {
  /** Starts a graceful shutdown. */
  readonly shutDown: () => void;
  /** Applies changed settings; only reloadable keys differ from the previous settings. */
  readonly applySettings: (settings: Settings) => void;
  readonly log: JsonLogger;
  /** Resolves when the daemon has shut down. */
  readonly ended: Promise<void>;
}

/** Loads and applies the settings of a running daemon. */
class DaemonSettingsConsumer<Settings extends object> extends SettingsConsumer<Settings> {
  constructor(
    private readonly program: DaemonProgram<Settings>,
    private readonly daemon: RunningDaemon<Settings>,
  ) {
    super();
  }

  override load(path: string): Settings {
    return this.program.load(path);
  }

  override isReloadable(key: string): boolean {
    return this.program.reloadableSettings.some(
      (group) => key === group || key.startsWith(`${group}.`),
    );
  }

  override apply(settings: Settings): void {
    this.daemon.applySettings(settings);
  }
}

/** The main program of a daemon. */
export abstract class DaemonProgram<Settings extends object> {
  /** Name of the binary. */
  abstract readonly name: string;
  /** Text that `--help` prints. */
  abstract readonly usage: string;
  /** Keys, or groups of keys, that a running daemon can reload. All others need a restart. */
  abstract readonly reloadableSettings: readonly string[];

  /**
   * Reads and validates a settings file.
   *
   * @param path - Path of the settings file.
   * @throws SettingsError that states the file, the keys and the remedy.
   */
  abstract load(path: string): Settings;

  /** Starts the daemon with validated settings. */
  abstract start(settings: Settings): Promise<RunningDaemon<Settings>>;

  /** Returns the settings file to read if no `--settings` is given; null if there is no default. */
  defaultSettingsPath(): string | null {
    return null;
  }

  /** Parses the arguments, runs the daemon until it has shut down and exits the process. */
  async run(): Promise<never> {
    let watch: SettingsWatch<Settings> | null = null;
    // Installed first, because an unhandled SIGHUP ends the process.
    process.on("SIGHUP", () => watch?.reload(RELOAD_CAUSE.SIGNAL));
    const { path, settings } = this.readSettings();
    const daemon = await this.start(settings);
    process.once("SIGTERM", daemon.shutDown);
    process.once("SIGINT", daemon.shutDown);
    watch = new SettingsWatch(path, settings, new DaemonSettingsConsumer(this, daemon), daemon.log);
    watch.start();
    await daemon.ended;
    watch.stop();
    process.exit(EXIT_CODE.OK);
  }

  private readSettings(): { path: string; settings: Settings } {
    try {
      const path = this.settingsPath();
      if (path !== null) {
        return { path, settings: this.load(path) };
      }
      process.stderr.write(
        `No settings file was given. Pass one with --settings.\n\n${this.usage}`,
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
