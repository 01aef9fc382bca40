import type { ListedHost } from "@heatherferry/core";

/** Power control of hosts. */
export abstract class HostPower {
  /**
   * Reboots a host, even if requests run on it.
   *
   * @param host - The host.
   * @param comesBack - Whether the host comes up again; false simulates a host that is lost.
   * @returns Whether the host came up again.
   */
  abstract powerCycle(host: ListedHost, comesBack: boolean): Promise<boolean>;

  /** Closes the connections to the hosts. */
  abstract close(): Promise<void>;
}
