import type { PlatformTable } from "@heatherferry/runners";
import type { BaseContext } from "clipanion";

/** What commands need of the world beside the table itself. */
export abstract class CommandEnvironment {
  /**
   * @param origin - Where the platform's table service is.
   * @param onUnreadable - Told of the key of each row that this build cannot read.
   * @returns A connection to it.
   */
  abstract openTable(origin: string, onUnreadable: (key: string) => void): PlatformTable;

  /** @returns A text that no other run of the command has. */
  abstract newInvocation(): string;

  /** @returns The secret of a new key. */
  abstract newSecret(): string;
}

/** What each command is given. */
export interface OperatorContext extends BaseContext {
  readonly environment: CommandEnvironment;
}
