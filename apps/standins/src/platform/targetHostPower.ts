import type { ListedHost } from "@heatherferry/core";
import { Agent } from "undici";
import { HTTP_STATUS } from "../http/constants.js";
import { TARGET_CONTROL_PATH } from "../target/constants.js";
import { HostPower } from "./hostPower.js";

/** Power control of hosts that target stand-ins simulate; reboots them over HTTP. */
export class TargetHostPower extends HostPower {
  private readonly agent = new Agent();

  override async powerCycle(host: ListedHost, comesBack: boolean): Promise<boolean> {
    try {
      const response = await this.agent.request({
        origin: `http://${host.address}`,
        path: TARGET_CONTROL_PATH.REBOOT,
        method: "POST",
        body: JSON.stringify({ comesBack }),
      });
      await response.body.dump();
      return response.statusCode === HTTP_STATUS.OK;
    } catch {
      return false;
    }
  }

  override async close(): Promise<void> {
    await this.agent.destroy();
  }
}
