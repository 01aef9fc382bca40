import { loadSettings } from "@heatherferry/common";
import { z } from "zod";
import { ENVIRONMENT } from "../constants.js";
import { COMMAND_ERROR_KIND, CommandError } from "../errors.js";

const SETTINGS_SCHEMA = z.strictObject({
  by: z.string().min(1).optional(),
  platform: z.strictObject({ origin: z.string() }).optional(),
});

/** Sources of settings: options, settings file and environment variables. */
export interface SettingsSources {
  readonly settingsPath: string | undefined;
  readonly platform: string | undefined;
  readonly by: string | undefined;
  readonly env: Readonly<Record<string, string | undefined>>;
}

type FileSettings = z.output<typeof SETTINGS_SCHEMA>;

const fileSettingsOf = ({ settingsPath }: SettingsSources): FileSettings =>
  settingsPath === undefined ? {} : loadSettings(settingsPath, SETTINGS_SCHEMA);

const parseOrigin = (text: string): string => {
  if (URL.canParse(text) && /^https?:$/u.test(new URL(text).protocol)) {
    return new URL(text).origin;
  }
  throw new CommandError(
    COMMAND_ERROR_KIND.BAD_PLATFORM,
    `"${text}" is not a valid address of the platform`,
    "Write it as http://HOST:PORT",
  );
};

/**
 * Returns the origin of the platform's table service: the option, else the settings file, else
 * the environment.
 *
 * @throws CommandError if no source has one, or it is not an HTTP address.
 */
export const platformOrigin = (sources: SettingsSources): string => {
  const origin =
    sources.platform ??
    fileSettingsOf(sources).platform?.origin ??
    sources.env[ENVIRONMENT.PLATFORM];
  if (origin === undefined || origin === "") {
    throw new CommandError(
      COMMAND_ERROR_KIND.NO_PLATFORM,
      "No platform is named",
      `Pass --platform http://HOST:PORT, set ${ENVIRONMENT.PLATFORM}, or pass --settings FILE ` +
        "with origin under [platform]",
    );
  }
  return parseOrigin(origin);
};

/**
 * Returns the operator's name for the audit trail: the option, else the settings file, else the
 * environment.
 *
 * @throws CommandError if no source has one, or it is not a single line.
 */
export const operatorName = (sources: SettingsSources): string => {
  const name = sources.by ?? fileSettingsOf(sources).by ?? sources.env[ENVIRONMENT.USER];
  if (name === undefined || name.trim() === "" || /\p{Cc}/u.test(name)) {
    throw new CommandError(
      COMMAND_ERROR_KIND.NO_OPERATOR,
      "The operator's name is missing or not a single line",
      "Pass --by NAME as a single line, or set `by` in the settings file",
    );
  }
  return name.trim();
};
