#!/usr/bin/env node
import { loadPlatformSettings, SETTINGS_FILE, type PlatformSettings } from "@heatherferry/platform";
import { DaemonProgram, type RunningDaemon } from "@heatherferry/runners";
import { wireWork } from "./wireWork.js";

const USAGE = `heatherferry-work: accepts submissions and runs their work on workers

Usage: heatherferry-work [--settings FILE]

FILE is the platform's settings file. Without --settings, its path is read from the environment
variable ${SETTINGS_FILE.VARIABLE}; if that is not set, it is ${SETTINGS_FILE.DEFAULT_PATH}.
`;

class WorkProgram extends DaemonProgram<PlatformSettings> {
  override readonly name = "heatherferry-work";
  override readonly usage = USAGE;
  override readonly reloadableSettings = ["bounds", "processorMilli"];

  override defaultSettingsPath(): string {
    return process.env[SETTINGS_FILE.VARIABLE] ?? SETTINGS_FILE.DEFAULT_PATH;
  }

  override load(path: string): PlatformSettings {
    return loadPlatformSettings(path);
  }

  override async start(settings: PlatformSettings): Promise<RunningDaemon<PlatformSettings>> {
    return wireWork(settings);
  }
}

await new WorkProgram().run();
