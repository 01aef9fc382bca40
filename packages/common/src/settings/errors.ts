import { HeatherferryError } from "../errors.js";
import type { ValueOf } from "../valueOf.js";

/** Why a settings file is rejected. */
export const SETTINGS_ERROR_KIND = {
  UNREADABLE: "unreadable",
  NOT_TOML: "notToml",
  INVALID: "invalid",
} as const;

export type SettingsErrorKind = ValueOf<typeof SETTINGS_ERROR_KIND>;

/** The settings file is unreadable or invalid; its settings were not applied. */
export class SettingsError extends HeatherferryError {
  constructor(
    readonly kind: SettingsErrorKind,
    problem: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(problem, remedy, options);
  }
}
