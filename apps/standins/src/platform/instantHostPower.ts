import type { ListedHost } from "@heatherferry/core";
import { HostPower } from "./hostPower.js";

/** Power control of hosts that no process simulates; a reboot takes no time. */
export class InstantHostPower extends HostPower {
  override powerCycle(_host: ListedHost, comesBack: boolean): Promise<boolean> {
    return Promise.resolve(comesBack);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
