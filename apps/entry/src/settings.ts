import { loadSettings } from "@heatherferry/common";
import { SETTINGS } from "@heatherferry/runners";
import { z } from "zod";

const PEER_SEED = z.strictObject({ id: z.string().min(1), address: z.string().min(1) });

/** Schema of the settings file of an entry host. */
export const ENTRY_SETTINGS = z.strictObject({
  node: SETTINGS.NODE,
  callers: SETTINGS.LISTENER,
  peers: SETTINGS.LISTENER.extend({ seeds: z.array(PEER_SEED).optional() }),
  admin: SETTINGS.LISTENER,
  platform: SETTINGS.PLATFORM,
  log: SETTINGS.LOG.optional(),
  limits: z
    .strictObject({ memory_mb: z.int().min(64), max_descriptors: z.int().min(256) })
    .partial()
    .optional(),
  trace: z.strictObject({ max_bytes: z.int().min(0) }).optional(),
});

export type EntrySettings = z.output<typeof ENTRY_SETTINGS>;

/**
 * Loads and validates the settings of an entry host.
 *
 * @param path - Path of the TOML file.
 * @throws SettingsError with the file, the invalid keys and the remedy.
 */
export const loadEntrySettings = (path: string): EntrySettings =>
  loadSettings(path, ENTRY_SETTINGS);
