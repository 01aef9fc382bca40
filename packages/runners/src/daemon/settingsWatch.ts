import { statSync } from "node:fs";
import { changedKeys, messageOf, type JsonLogger, type ValueOf } from "@heatherferry/common";

/** What made a settings file be read again. */
export const RELOAD_CAUSE = { SIGNAL: "signal", FILE: "file" } as const;

type ReloadCause = ValueOf<typeof RELOAD_CAUSE>;

/** How often the file is looked at for a change that no signal told of. */
const POLL_MS = 2_000;

/** Reads settings again and hands them to what runs. */
export abstract class SettingsTaker<Settings extends object> {
  /**
   * @param path - Path of the settings file.
   * @throws SettingsError naming the file, the keys and the remedy.
   */
  abstract load(path: string): Settings;
  /** @returns Whether a running daemon can take a new value of this key. */
  abstract takesInPlace(key: string): boolean;
  /** @param settings - Checked settings, which differ in keys that are taken in place only. */
  abstract take(settings: Settings): void;
}

/** @returns What changes when the file is written or replaced; null while there is none. */
const stampOf = (path: string): string | null => {
  const stat = statSync(path, { throwIfNoEntry: false });
  return stat === undefined ? null : `${stat.ino} ${stat.size} ${stat.mtimeMs}`;
};

/**
 * Takes a changed settings file while the daemon runs. A file is taken whole or not at all: one that
 * is wrong, or that changes what only a new process can take, leaves the old settings in force.
 */
export class SettingsWatch<Settings extends object> {
  /** Null at first, so that a change while the daemon started is found. */
  private stamp: string | null = null;
  private timer: NodeJS.Timeout | null = null;

  /**
   * @param path - Path of the settings file.
   * @param inForce - What it held when the daemon started.
   * @param taker - Reads the file and takes its settings.
   * @param log - Told of each reload and its outcome.
   */
  constructor(
    private readonly path: string,
    private inForce: Settings,
    private readonly taker: SettingsTaker<Settings>,
    private readonly log: JsonLogger,
  ) {}

  /** Begins to look for changes that no signal tells of. */
  start(): void {
    this.timer = setInterval(() => {
      this.lookAtFile();
    }, POLL_MS);
    this.timer.unref();
  }

  stop(): void {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
  }

  /** Reads the file again; never throws. */
  reload(cause: ReloadCause): void {
    const where = { file: this.path, cause };
    try {
      this.stamp = stampOf(this.path);
      this.consider(this.taker.load(this.path), where);
    } catch (error) {
      this.log("error", "settings.refused", { ...where, problem: messageOf(error) });
    }
  }

  private lookAtFile(): void {
    let stamp: string | null = null;
    try {
      stamp = stampOf(this.path);
    } catch (error) {
      this.log("warn", "settings.unseen", { file: this.path, problem: messageOf(error) });
      return;
    }
    if (stamp !== this.stamp) {
      this.reload(RELOAD_CAUSE.FILE);
    }
  }

  private consider(settings: Settings, where: Readonly<Record<string, string>>): void {
    const keys = changedKeys(this.inForce, settings);
    const fixed = keys.filter((key) => !this.taker.takesInPlace(key));
    if (keys.length === 0) {
      this.log("debug", "settings.unchanged", where);
    } else if (fixed.length > 0) {
      this.log("error", "settings.refused", {
        ...where,
        problem: `a running process cannot take ${fixed.join(", ")}. Restart it, or undo these changes.`,
      });
    } else {
      this.taker.take(settings);
      this.inForce = settings;
      this.log("info", "settings.taken", { ...where, keys: keys.join(", ") });
    }
  }
}
