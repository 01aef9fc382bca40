import { loadSettings } from "@heatherferry/common";
import { SETTINGS } from "@heatherferry/runners";
import { z } from "zod";

/** What the settings file of a maintainer may and must hold. */
export const MAINTAINER_SETTINGS = z.strictObject({
  node: SETTINGS.NODE,
  admin: SETTINGS.LISTENER,
  platform: SETTINGS.PLATFORM,
  log: SETTINGS.LOG.optional(),
});

export type MaintainerSettings = z.output<typeof MAINTAINER_SETTINGS>;

/**
 * @param path - Path of the TOML file.
 * @returns The checked settings.
 * @throws SettingsError naming the file, the keys and the remedy.
 */
export const loadMaintainerSettings = (path: string): MaintainerSettings =>
  loadSettings(path, MAINTAINER_SETTINGS);
