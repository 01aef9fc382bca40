import type { ListedHost } from "@heatherferry/core";

/** Switches hosts off and on. */
export abstract class HostPower {
  /**
   * Reboots a host, whatever runs on it.
   *
   * @param host - The host.
   * @param comesBack - Whether it is to come up again.
   * @returns Whether it came up again.
   */
  abstract cycle(host: ListedHost, comesBack: boolean): Promise<boolean>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
