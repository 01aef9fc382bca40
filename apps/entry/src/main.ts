#!/usr/bin/env node
import { parseArgs } from "node:util";
import { EXIT_CODE, messageOf, SettingsError } from "@heatherferry/common";
import { loadEntrySettings, type EntrySettings } from "./settings.js";
import { wireEntry } from "./wireEntry.js";

const USAGE = `heatherferry-entry: takes callers' requests and passes them to targets of its zone

Usage: heatherferry-entry --settings FILE

Settings (TOML):
  [node]      id, availability_zone
  [callers]   host, port      where callers connect; port 0 for any
  [peers]     host, port      where other entry hosts connect
              seeds           [{id, address}]: entry hosts of the zone, asked for the rules at a
                              start without the platform (optional)
  [admin]     host, port      /metrics, /livez, /readyz
  [platform]  origin          http://host:port of the platform's table
  [log]       level           debug, info, warn or error (optional)
  [trace]     max_bytes       keep events for a replay, given out at /trace (optional)
`;

const settingsPath = (): string | null => {
  const { values } = parseArgs({
    options: { settings: { type: "string" }, help: { type: "boolean", short: "h" } },
  });
  if (values.help === true) {
    process.stdout.write(USAGE);
    process.exit(EXIT_CODE.OK);
  }
  return values.settings ?? null;
};

const readSettings = (): EntrySettings => {
  try {
    const path = settingsPath();
    if (path !== null) {
      return loadEntrySettings(path);
    }
    process.stderr.write(`No settings file was named. Pass one with --settings.\n\n${USAGE}`);
  } catch (error) {
    const prefix = error instanceof SettingsError ? "" : "heatherferry-entry: ";
    process.stderr.write(`${prefix}${messageOf(error)}\n`);
  }
  process.exit(EXIT_CODE.BAD_INPUT);
};

const entry = await wireEntry(readSettings());
process.once("SIGTERM", entry.shutDown);
process.once("SIGINT", entry.shutDown);
await entry.ended;
process.exit(EXIT_CODE.OK);
