import { loadSettings } from "@heatherferry/common";
import { z } from "zod";

const LISTENER = z.strictObject({
  host: z.string().min(1),
  port: z.int().min(0).max(65_535),
});

const PEER_SEED = z.strictObject({ id: z.string().min(1), address: z.string().min(1) });

/** What the settings file of an entry host may and must hold. */
export const ENTRY_SETTINGS = z.strictObject({
  node: z.strictObject({
    id: z.string().min(1),
    availability_zone: z.string().min(1),
  }),
  callers: LISTENER,
  peers: LISTENER.extend({ seeds: z.array(PEER_SEED).optional() }),
  admin: LISTENER,
  platform: z.strictObject({ origin: z.url({ protocol: /^https?$/ }) }),
  log: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]) }).optional(),
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
