#!/usr/bin/env node
import { DaemonProgram, type RunningDaemon } from "@heatherferry/runners";
import { loadMaintainerSettings, type MaintainerSettings } from "./settings.js";
import { wireMaintainer } from "./wireMaintainer.js";

const USAGE = `heatherferry-maintainer: assigns hosts to pools, drains them, runs maintenance waves

Usage: heatherferry-maintainer --settings FILE

Settings (TOML):
  [node]      id, availability_zone   the id of the entry host it runs on
  [admin]     host, port              /metrics, /livez, /readyz; port 0 for any free port
  [platform]  origin                  http://host:port of the platform
  [log]       level                   debug, info, warn or error (optional)
`;

class MaintainerProgram extends DaemonProgram<MaintainerSettings> {
  override readonly name = "heatherferry-maintainer";
  override readonly usage = USAGE;
  override readonly reloadableSettings = ["log"];

  override load(path: string): MaintainerSettings {
    return loadMaintainerSettings(path);
  }

  override async start(settings: MaintainerSettings): Promise<RunningDaemon<MaintainerSettings>> {
    return wireMaintainer(settings);
  }
}

await new MaintainerProgram().run();
