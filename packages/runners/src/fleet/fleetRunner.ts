import { messageOf, type HostId } from "@heatherferry/common";
import type { EventLoop } from "../loop/eventLoop.js";
import type { HostDirectory } from "../platform/hostDirectory.js";

/** Reads the platform's host list and reboots hosts, and reports the results as events. */
export class FleetRunner {
  constructor(
    private readonly directory: HostDirectory,
    private readonly loop: EventLoop,
  ) {}

  /** Reads the host list once. */
  async list(): Promise<void> {
    try {
      const hosts = await this.directory.list();
      this.loop.handle({ type: "hosts/listed", hosts });
    } catch (error) {
      this.loop.handle({ type: "hosts/listFailed", reason: messageOf(error) });
    }
  }

  /**
   * Reboots a host.
   *
   * @param hostId - The host; no work may be running on it.
   */
  async reboot(hostId: HostId): Promise<void> {
    try {
      await this.directory.reboot(hostId);
      this.loop.handle({ type: "host/rebooted", hostId });
    } catch (error) {
      this.loop.handle({ type: "host/rebootFailed", hostId, reason: messageOf(error) });
    }
  }
}
