import { HeatherferryError, type ValueOf } from "@heatherferry/common";

/** Reasons for which a command line is rejected. */
export const COMMAND_ERROR_KIND = {
  NO_PLATFORM: "noPlatform",
  BAD_PLATFORM: "badPlatform",
  NO_OPERATOR: "noOperator",
  UNREADABLE_FILE: "unreadableFile",
  BAD_OPTION: "badOption",
} as const;

export type CommandErrorKind = ValueOf<typeof COMMAND_ERROR_KIND>;

/** The command line is invalid; nothing was sent to the platform. */
export class CommandError extends HeatherferryError {
  constructor(
    readonly kind: CommandErrorKind,
    problem: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(problem, remedy, options);
  }
}
