import { parseArgs } from "node:util";
import { EXIT_CODE, messageOf, SettingsError, type JsonLogger } from "@heatherferry/common";
import { RELOAD_CAUSE, SettingsTaker, SettingsWatch } from "./settingsWatch.js";

/** A daemon that has started. */
export interface RunningDaemon<Settings> {
  /** Begins a graceful shutdown. */
  readonly shutDown: () => void;
  /** Takes changed settings; they differ in keys that are taken in place only. */
  readonly takeSettings: (settings: Settings) => void;
  readonly log: JsonLogger;
  /** Resolves when the daemon has ended. */
  readonly ended: Promise<void>;
}

/** Settings of a daemon that runs. */
class DaemonSettings<Settings extends object> extends SettingsTaker<Settings> {
  constructor(
    private readonly program: DaemonProgram<Settings>,
    private readonly daemon: RunningDaemon<Settings>,
  ) {
    super();
  }

  override load(path: string): Settings {
    return this.program.load(path);
  }

  override takesInPlace(key: string): boolean {
    return this.program.settingsInPlace.some(
      (group) => key === group || key.startsWith(`${group}.`),
    );
  }

  override take(settings: Settings): void {
    this.daemon.takeSettings(settings);
  }
}

/** One of the daemons, as its main module runs it. */
export abstract class DaemonProgram<Settings extends object> {
  /** Name of the binary. */
  abstract readonly name: string;
  /** What `--help` prints. */
  abstract readonly usage: string;
  /** Settings that a running daemon takes: keys, or groups of keys. All others need a restart. */
  abstract readonly settingsInPlace: readonly string[];

  /**
   * @param path - Path of the settings file.
   * @returns The checked settings.
   * @throws SettingsError naming the file, the keys and the remedy.
   */
  abstract load(path: string): Settings;

  /** @param settings - Checked settings. */
  abstract start(settings: Settings): Promise<RunningDaemon<Settings>>;

  /** @returns The settings file to read when none is named; null where there is none. */
  defaultSettingsPath(): string | null {
    return null;
  }

  /** Reads the arguments, runs the daemon to its end and exits the process. */
  async run(): Promise<never> {
    let watch: SettingsWatch<Settings> | null = null;
    // Before anything else: the signal ends a process that does not listen for it.
    process.on("SIGHUP", () => watch?.reload(RELOAD_CAUSE.SIGNAL));
    const { path, settings } = this.readSettings();
    const daemon = await this.start(settings);
    process.once("SIGTERM", daemon.shutDown);
    process.once("SIGINT", daemon.shutDown);
    watch = new SettingsWatch(path, settings, new DaemonSettings(this, daemon), daemon.log);
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
