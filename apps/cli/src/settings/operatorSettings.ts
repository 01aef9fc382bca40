import { loadSettings } from "@heatherferry/common";
import { z } from "zod";
import { ENVIRONMENT } from "../constants.js";
import { COMMAND_ERROR_KIND, CommandError } from "../errors.js";

const SCHEMA = z.strictObject({
  by: z.string().min(1).optional(),
  platform: z.strictObject({ origin: z.string() }).optional(),
});

/** What options, settings file and environment say together. */
export interface Sources {
  readonly settingsPath: string | undefined;
  readonly platform: string | undefined;
  readonly by: string | undefined;
  readonly env: Readonly<Record<string, string | undefined>>;
}

type FileSettings = z.output<typeof SCHEMA>;

const fileSettingsOf = ({ settingsPath }: Sources): FileSettings =>
  settingsPath === undefined ? {} : loadSettings(settingsPath, SCHEMA);

const checkedOrigin = (text: string): string => {
  if (URL.canParse(text) && /^https?:$/u.test(new URL(text).protocol)) {
    return new URL(text).origin;
  }
  throw new CommandError(
    COMMAND_ERROR_KIND.BAD_PLATFORM,
    `"${text}" is not an address of the platform`,
    "Write it as http://HOST:PORT",
  );
};

/**
 * @param sources - Where the answer may stand: option first, then settings, then environment.
 * @returns The origin of the platform's table service.
 * @throws CommandError when none of them names one.
 */
export const platformOrigin = (sources: Sources): string => {
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
  return checkedOrigin(origin);
};

/**
 * @param sources - Where the answer may stand: option first, then settings, then environment.
 * @returns The operator's name, for the audit trail.
 * @throws CommandError when none of them names one.
 */
export const operatorName = (sources: Sources): string => {
  const name = sources.by ?? fileSettingsOf(sources).by ?? sources.env[ENVIRONMENT.USER];
  if (name === undefined || name.trim() === "" || /\p{Cc}/u.test(name)) {
    throw new CommandError(
      COMMAND_ERROR_KIND.NO_OPERATOR,
      "The change needs the name of who makes it",
      "Pass --by NAME in one line, or set by in the settings file",
    );
  }
  return name.trim();
};
