#!/usr/bin/env node
import { DaemonProgram, type RunningDaemon } from "@heatherferry/runners";
import { loadEntrySettings, type EntrySettings } from "./settings.js";
import { wireEntry } from "./wireEntry.js";

const USAGE = `heatherferry-entry: accepts callers' requests and sends them to targets of its zone

Usage: heatherferry-entry --settings FILE

Settings (TOML):
  [node]      id, availability_zone
  [callers]   host, port      address for callers; port 0 for any free port
  [peers]     host, port      address for other entry hosts
              seeds           [{id, address}]: entry hosts of the zone that are queried for the
                              rules if the platform is down at the start (optional)
  [admin]     host, port      /metrics, /livez, /readyz
  [platform]  origin          http://host:port of the platform's table
  [log]       level           debug, info, warn or error (optional)
  [limits]    memory_mb       memory of the machine; 1024 if not set (optional)
              max_descriptors most descriptors of the process; 4096 if not set (optional)
  [trace]     max_bytes       records events for a replay, served at /trace (optional)
`;

class EntryProgram extends DaemonProgram<EntrySettings> {
  override readonly name = "heatherferry-entry";
  override readonly usage = USAGE;
  override readonly reloadableSettings = ["log"];

  override load(path: string): EntrySettings {
    return loadEntrySettings(path);
  }

  override async start(settings: EntrySettings): Promise<RunningDaemon<EntrySettings>> {
    return wireEntry(settings);
  }
}

await new EntryProgram().run();
