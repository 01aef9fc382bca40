import { randomBytes, randomUUID } from "node:crypto";
import { HttpPlatformTable, type PlatformTable } from "@heatherferry/runners";
import { KEY_SECRET } from "../constants.js";
import { CommandEnvironment } from "./commandEnvironment.js";

/** Environment of a command that runs as its own process: HTTP and system randomness. */
export class ProcessEnvironment extends CommandEnvironment {
  override openTable(origin: string, onUnreadable: (key: string) => void): PlatformTable {
    return new HttpPlatformTable(origin, onUnreadable);
  }

  override newInvocation(): string {
    return `operator-${randomUUID()}`;
  }

  override newSecret(): string {
    return randomBytes(KEY_SECRET.BYTES).toString("base64url");
  }
}
