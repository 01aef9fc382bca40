import { loadSettings } from "@heatherferry/common";
import { z } from "zod";

/** What the settings file of a maintainer may and must hold. */
export const MAINTAINER_SETTINGS = z.strictObject({
  node: z.strictObject({
    id: z.string().min(1),
    availability_zone: z.string().min(1),
  }),
  admin: z.strictObject({
    host: z.string().min(1),
    port: z.int().min(0).max(65_535),
  }),
  platform: z.strictObject({ origin: z.url({ protocol: /^https?$/ }) }),
  log: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]) }).optional(),
});

export type MaintainerSettings = z.output<typeof MAINTAINER_SETTINGS>;

/**
 * @param path - Path of the TOML file.
 * @returns The checked settings.
 * @throws SettingsError naming the file, the keys and the remedy.
 */
export const loadMaintainerSettings = (path: string): MaintainerSettings =>
  loadSettings(path, MAINTAINER_SETTINGS);
