import type { HostId } from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";

/** The platform's lagging list of hosts, and its orders to them. */
export abstract class HostDirectory {
  /**
   * @returns All hosts that the platform names, live and leaving.
   * @throws PlatformError when the platform does not answer.
   */
  abstract list(): Promise<readonly ListedHost[]>;

  /**
   * Reboots a host and waits until it is back.
   *
   * @param hostId - The host; it must run nothing.
   * @throws PlatformError when the order fails or the host does not come back.
   */
  abstract reboot(hostId: HostId): Promise<void>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
