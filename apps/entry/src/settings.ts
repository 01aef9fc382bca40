import { loadSettings } from "@heatherferry/common";
import { SETTINGS } from "@heatherferry/runners";
import { z } from "zod";

const PEER_SEED = z.strictObject({ id: z.string().min(1), address: z.string().min(1) });

/** What the settings file of an entry host may and must hold. */
export const ENTRY_SETTINGS = z.strictObject({
  node: SETTINGS.NODE,
  callers: SETTINGS.LISTENER,
  peers: SETTINGS.LISTENER.extend({ seeds: z.array(PEER_SEED).optional() }),
  admin: SETTINGS.LISTENER,
  platform: SETTINGS.PLATFORM,
  log: SETTINGS.LOG.optional(),
  trace: z.strictObject({ max_bytes: z.int().min(0) }).optional(),
});

export type EntrySettings = z.output<typeof ENTRY_SETTINGS>;

/**
 * @param path - Path of the TOML file.
 * @returns The checked settings.
 * @throws SettingsError naming the file, the keys and the remedy.
 */
export const loadEntrySettings = (path: string): EntrySettings =>
  loadSettings(path, ENTRY_SETTINGS);
