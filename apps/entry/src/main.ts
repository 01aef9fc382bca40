#!/usr/bin/env node
import { DaemonProgram, type RunningDaemon } from "@heatherferry/runners";
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

class EntryProgram extends DaemonProgram<EntrySettings> {
  override readonly name = "heatherferry-entry";
  override readonly usage = USAGE;
  override readonly settingsInPlace = ["log"];

  override load(path: string): EntrySettings {
    return loadEntrySettings(path);
  }

  override async start(settings: EntrySettings): Promise<RunningDaemon<EntrySettings>> {
    return wireEntry(settings);
  }
}

await new EntryProgram().run();
