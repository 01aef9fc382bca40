import { messageOf, type HostId } from "@heatherferry/common";
import type { ListedHost } from "@heatherferry/core";
import { Pool } from "undici";
import { z } from "zod";
import { PLATFORM_CALL, PLATFORM_PATH } from "./constants.js";
import { PLATFORM_ERROR_KIND, PlatformError } from "./errors.js";
import { HostDirectory } from "./hostDirectory.js";

const NAME = z.string().min(1);

const LIST_ANSWER = z.object({
  hosts: z.array(
    z.object({
      hostId: NAME,
      availabilityZone: NAME,
      rack: NAME,
      address: NAME,
      slots: z.int().min(0),
      state: z.enum(["live", "leaving"]),
    }),
  ),
});

const HTTP_STATUS_OK = 200;

const CONNECTIONS = { LIST: 1, REBOOT: 32 } as const;

/** The platform's host list over HTTP with JSON bodies. */
export class HttpHostDirectory extends HostDirectory {
  private readonly lists: Pool;
  /** Separate, because a reboot occupies its connection until the host is back. */
  private readonly reboots: Pool;

  /**
   * @param origin - `http://host:port` of the platform.
   * @param listTimeoutMs - Timeout for reading the list.
   * @param rebootTimeoutMs - Timeout for a host to come back after a reboot.
   */
  constructor(
    origin: string,
    private readonly listTimeoutMs: number = PLATFORM_CALL.TIMEOUT_MS,
    private readonly rebootTimeoutMs: number = PLATFORM_CALL.REBOOT_TIMEOUT_MS,
  ) {
    super();
    this.lists = new Pool(origin, {
      connections: CONNECTIONS.LIST,
      connectTimeout: listTimeoutMs,
    });
    this.reboots = new Pool(origin, {
      connections: CONNECTIONS.REBOOT,
      connectTimeout: listTimeoutMs,
      headersTimeout: rebootTimeoutMs,
    });
  }

  override async list(): Promise<readonly ListedHost[]> {
    const body = await this.call(this.lists, "GET", PLATFORM_PATH.HOSTS, this.listTimeoutMs);
    const answer = LIST_ANSWER.safeParse(body);
    if (!answer.success) {
      throw new PlatformError(
        PLATFORM_ERROR_KIND.MALFORMED,
        `The platform's host list cannot be parsed: ${answer.error.message}`,
        "Check that the platform address in the settings is correct",
      );
    }
    return answer.data.hosts as unknown as readonly ListedHost[];
  }

  override async reboot(hostId: HostId): Promise<void> {
    const path = `${PLATFORM_PATH.HOSTS}/${encodeURIComponent(hostId)}/reboot`;
    await this.call(this.reboots, "POST", path, this.rebootTimeoutMs);
  }

  override async close(): Promise<void> {
    await Promise.all([this.lists.destroy(), this.reboots.destroy()]);
  }

  private async call(
    pool: Pool,
    method: "GET" | "POST",
    path: string,
    timeoutMs: number,
  ): Promise<unknown> {
    const { statusCode, body } = await this.send(pool, method, path, timeoutMs);
    if (statusCode !== HTTP_STATUS_OK) {
      throw new PlatformError(
        PLATFORM_ERROR_KIND.REFUSED,
        `The platform answered ${method} ${path} with status ${statusCode}`,
        "Check the state of the host on the platform; reading the list is retried automatically",
      );
    }
    return body;
  }

  private async send(
    pool: Pool,
    method: "GET" | "POST",
    path: string,
    timeoutMs: number,
  ): Promise<{ readonly statusCode: number; readonly body: unknown }> {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const { statusCode, body } = await pool.request({ path, method, signal });
      const text = await body.text();
      return { statusCode, body: statusCode === HTTP_STATUS_OK ? JSON.parse(text) : null };
    } catch (cause) {
      throw new PlatformError(
        PLATFORM_ERROR_KIND.UNREACHABLE,
        `The platform did not answer ${method} ${path}: ${messageOf(cause)}`,
        "Wait for the platform to recover; the call is retried automatically",
        { cause },
      );
    }
  }
}
