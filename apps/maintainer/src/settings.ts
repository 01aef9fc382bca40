import { loadSettings } from "@heatherferry/common";
import { SETTINGS } from "@heatherferry/runners";
import { z } from "zod";

/** Schema of the settings file of a maintainer. */
export const MAINTAINER_SETTINGS = z.strictObject({
  node: SETTINGS.NODE,
  admin: SETTINGS.LISTENER,
  platform: SETTINGS.PLATFORM,
  log: SETTINGS.LOG.optional(),
});

export type MaintainerSettings = z.output<typeof MAINTAINER_SETTINGS>;

/**
 * Loads and validates the settings of a maintainer.
 *
 * @param path - Path of the TOML file.
 * @throws SettingsError with the file, the invalid keys and the remedy.
 */
export const loadMaintainerSettings = (path: string): MaintainerSettings =>
  loadSettings(path, MAINTAINER_SETTINGS);
