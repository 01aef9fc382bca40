import { statSync } from "node:fs";
import { changedKeys, messageOf, type JsonLogger, type ValueOf } from "@heatherferry/common";

/** Why a settings file is reloaded. */
export const RELOAD_CAUSE = { SIGNAL: "signal", FILE: "file" } as const;

type ReloadCause = ValueOf<typeof RELOAD_CAUSE>;

/** Interval at which the file is checked for changes that no signal announced. */
const POLL_MS = 2_000;

/** Loads settings and applies them to a running daemon. */
export abstract class SettingsConsumer<Settings extends object> {
  /**
   * Reads and validates the settings file.
   *
   * @param path - Path of the settings file.
   * @throws SettingsError that states the file, the keys and the remedy.
   */
  abstract load(path: string): Settings;
  /** Whether a running daemon can apply a new value of this key. */
  abstract isReloadable(key: string): boolean;
  /** Applies validated settings, of which only reloadable keys have changed. */
  abstract apply(settings: Settings): void;
}

/** Returns a value that changes when the file is written or replaced; null if there is no file. */
const fingerprintOf = (path: string): string | null => {
  const stat = statSync(path, { throwIfNoEntry: false });
  return stat === undefined ? null : `${stat.ino} ${stat.size} ${stat.mtimeMs}`;
};

/**
 * Reloads the settings file while the daemon runs. A file is applied whole or not at all: one that is
 * invalid, or that changes keys which need a restart, leaves the previous settings in effect.
 */
export class SettingsWatch<Settings extends object> {
  /** Null at first, so that a change made while the daemon was starting is detected. */
  private fingerprint: string | null = null;
  private timer: NodeJS.Timeout | null = null;

  /**
   * @param path - Path of the settings file.
   * @param current - Settings that the daemon was started with.
   * @param consumer - Loads the file and applies its settings.
   * @param log - Logs the outcome of each reload.
   */
  constructor(
    private readonly path: string,
    private current: Settings,
    private readonly consumer: SettingsConsumer<Settings>,
    private readonly log: JsonLogger,
  ) {}

  /** Starts checking the file for changes at a fixed interval. */
  start(): void {
    this.timer = setInterval(() => {
      this.checkFile();
    }, POLL_MS);
    this.timer.unref();
  }

  stop(): void {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
  }

  /** Reloads the file. Never throws: errors are logged. */
  reload(cause: ReloadCause): void {
    const context = { file: this.path, cause };
    try {
      this.fingerprint = fingerprintOf(this.path);
      this.applyIfReloadable(this.consumer.load(this.path), context);
    } catch (error) {
      this.log("error", "settings.refused", { ...context, problem: messageOf(error) });
    }
  }

  private checkFile(): void {
    let fingerprint: string | null = null;
    try {
      fingerprint = fingerprintOf(this.path);
    } catch (error) {
      this.log("warn", "settings.unseen", { file: this.path, problem: messageOf(error) });
      return;
    }
    if (fingerprint !== this.fingerprint) {
      this.reload(RELOAD_CAUSE.FILE);
    }
  }

  private applyIfReloadable(settings: Settings, context: Readonly<Record<string, string>>): void {
    const keys = changedKeys(this.current, settings);
    const needRestart = keys.filter((key) => !this.consumer.isReloadable(key));
    if (keys.length === 0) {
      this.log("debug", "settings.unchanged", context);
    } else if (needRestart.length > 0) {
      this.log("error", "settings.refused", {
        ...context,
        problem: `a running process cannot reload ${needRestart.join(", ")}. Restart it, or undo these changes.`,
      });
    } else {
      this.consumer.apply(settings);
      this.current = settings;
      this.log("info", "settings.taken", { ...context, keys: keys.join(", ") });
    }
  }
}
