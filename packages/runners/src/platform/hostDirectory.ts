import type { HostId } from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";

/** The platform's host list, which may lag behind, and its host operations. */
export abstract class HostDirectory {
  /**
   * Returns all hosts that the platform lists, live and leaving.
   *
   * @throws PlatformError if the platform does not answer.
   */
  abstract list(): Promise<readonly ListedHost[]>;

  /**
   * Reboots a host and waits until it is back in operation.
   *
   * @param hostId - The host; no work may be running on it.
   * @throws PlatformError if the reboot fails or the host does not come back.
   */
  abstract reboot(hostId: HostId): Promise<void>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
