import { messageOf, type HostId } from "@heatherferry/common";
import type { EventLoop } from "../loop/eventLoop.js";
import type { HostDirectory } from "../platform/hostDirectory.js";

/** Turns what comes of reading the platform's list and of reboots into events. */
export class FleetRunner {
  constructor(
    private readonly directory: HostDirectory,
    private readonly loop: EventLoop,
  ) {}

  /** Reads the list once. */
  async list(): Promise<void> {
    try {
      const hosts = await this.directory.list();
      this.loop.handle({ type: "hosts/listed", hosts });
    } catch (error) {
      this.loop.handle({ type: "hosts/listFailed", reason: messageOf(error) });
    }
  }

  /** @param hostId - The host to reboot; it runs nothing. */
  async reboot(hostId: HostId): Promise<void> {
    try {
      await this.directory.reboot(hostId);
      this.loop.handle({ type: "host/rebooted", hostId });
    } catch (error) {
      this.loop.handle({ type: "host/rebootFailed", hostId, reason: messageOf(error) });
    }
  }
}
