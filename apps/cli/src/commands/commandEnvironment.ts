import type { PlatformTable } from "@heatherferry/runners";
import type { BaseContext } from "clipanion";

/** Access of the commands to the platform and to sources of randomness. */
export abstract class CommandEnvironment {
  /**
   * Opens a connection to the platform's table.
   *
   * @param origin - Origin of the platform's table service.
   * @param onUnreadable - Called with the key of each row that this build cannot read.
   */
  abstract openTable(origin: string, onUnreadable: (key: string) => void): PlatformTable;

  /** @returns An id that no other run of a command has. */
  abstract newInvocation(): string;

  /** @returns A random secret for a new key. */
  abstract newSecret(): string;
}

/** Context that clipanion passes to each command. */
export interface OperatorContext extends BaseContext {
  readonly environment: CommandEnvironment;
}
