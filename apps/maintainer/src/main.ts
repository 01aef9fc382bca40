#!/usr/bin/env node
import { parseArgs } from "node:util";
import { EXIT_CODE, messageOf, SettingsError } from "@heatherferry/common";
import { loadMaintainerSettings, type MaintainerSettings } from "./settings.js";
import { wireMaintainer } from "./wireMaintainer.js";

const USAGE = `heatherferry-maintainer: assigns hosts to pools, drains them, runs maintenance waves

Usage: heatherferry-maintainer --settings FILE

Settings (TOML):
  [node]      id, availability_zone   the id of the entry host it runs on
  [admin]     host, port              /metrics, /livez, /readyz; port 0 for any
  [platform]  origin                  http://host:port of the platform
  [log]       level                   debug, info, warn or error (optional)
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

const readSettings = (): MaintainerSettings => {
  try {
    const path = settingsPath();
    if (path !== null) {
      return loadMaintainerSettings(path);
    }
    process.stderr.write(`No settings file was named. Pass one with --settings.\n\n${USAGE}`);
  } catch (error) {
    const prefix = error instanceof SettingsError ? "" : "heatherferry-maintainer: ";
    process.stderr.write(`${prefix}${messageOf(error)}\n`);
  }
  process.exit(EXIT_CODE.BAD_INPUT);
};

const maintainer = await wireMaintainer(readSettings());
process.once("SIGTERM", maintainer.shutDown);
process.once("SIGINT", maintainer.shutDown);
await maintainer.ended;
process.exit(EXIT_CODE.OK);
