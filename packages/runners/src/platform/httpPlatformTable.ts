import { messageOf, tableVersion } from "@heatherferry/common";
import type { TableRange, TableRow, TableWrite } from "@heatherferry/core";
import { decodeRows } from "@heatherferry/wire";
import { Pool } from "undici";
import { z } from "zod";
import { PLATFORM_CALL, PLATFORM_PATH } from "./constants.js";
import { PLATFORM_ERROR_KIND, PlatformError } from "./errors.js";
import { PlatformTable } from "./platformTable.js";
import type { TableReadResult, TableWriteResult } from "./types.js";

const READ_ANSWER = z.object({
  rows: z.array(z.unknown()),
  upToVersion: z.int().min(0),
  tableTimeMs: z.number(),
});

const WRITE_ANSWER = z.object({ version: z.int().min(1) });

const CONFLICT_ANSWER = z.object({ rows: z.array(z.unknown()) });

const HTTP_STATUS = { OK: 200, CONFLICT: 409 } as const;

interface HttpAnswer {
  readonly statusCode: number;
  readonly body: unknown;
}

const malformed = (detail: string): PlatformError =>
  new PlatformError(
    PLATFORM_ERROR_KIND.MALFORMED,
    `The answer of the platform's table cannot be parsed: ${detail}`,
    "Check that the platform address in the settings is that of the table service",
  );

const unexpectedStatus = (statusCode: number): PlatformError =>
  new PlatformError(
    PLATFORM_ERROR_KIND.REFUSED,
    `The platform's table answered status ${statusCode}`,
    "Wait for the table service to recover; the call is retried automatically",
  );

/** The platform's table over HTTP with JSON bodies. */
export class HttpPlatformTable extends PlatformTable {
  private readonly pool: Pool;

  /**
   * @param origin - `http://host:port` of the table service.
   * @param onUnreadable - Called with the key of each row that cannot be decoded.
   * @param timeoutMs - Timeout of one call.
   */
  constructor(
    origin: string,
    private readonly onUnreadable: (key: string) => void,
    private readonly timeoutMs: number = PLATFORM_CALL.TIMEOUT_MS,
  ) {
    super();
    this.pool = new Pool(origin, { connections: 4, connectTimeout: timeoutMs });
  }

  override async read(ranges: readonly TableRange[]): Promise<TableReadResult> {
    const { statusCode, body } = await this.post(PLATFORM_PATH.TABLE_READ, { ranges });
    if (statusCode !== HTTP_STATUS.OK) {
      throw unexpectedStatus(statusCode);
    }
    const answer = READ_ANSWER.safeParse(body);
    if (!answer.success) {
      throw malformed(answer.error.message);
    }
    return {
      rows: this.decode(answer.data.rows),
      upToVersion: tableVersion(answer.data.upToVersion),
      tableTimeMs: answer.data.tableTimeMs,
    };
  }

  override async write(write: TableWrite): Promise<TableWriteResult> {
    const { statusCode, body } = await this.post(PLATFORM_PATH.TABLE_WRITE, write);
    if (statusCode === HTTP_STATUS.CONFLICT) {
      const conflict = CONFLICT_ANSWER.safeParse(body);
      if (!conflict.success) {
        throw malformed(conflict.error.message);
      }
      return { type: "conflicted", rows: this.decode(conflict.data.rows) };
    }
    if (statusCode !== HTTP_STATUS.OK) {
      throw unexpectedStatus(statusCode);
    }
    const answer = WRITE_ANSWER.safeParse(body);
    if (!answer.success) {
      throw malformed(answer.error.message);
    }
    return { type: "committed", version: tableVersion(answer.data.version) };
  }

  override async close(): Promise<void> {
    await this.pool.destroy();
  }

  private decode(rawRows: readonly unknown[]): readonly TableRow[] {
    const { rows, unreadableKeys } = decodeRows(rawRows);
    unreadableKeys.forEach(this.onUnreadable);
    return rows;
  }

  private async post(path: string, body: unknown): Promise<HttpAnswer> {
    try {
      const response = await this.pool.request({
        path,
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      return { statusCode: response.statusCode, body: await response.body.json() };
    } catch (cause) {
      throw new PlatformError(
        PLATFORM_ERROR_KIND.UNREACHABLE,
        `The platform's table did not answer: ${messageOf(cause)}`,
        "Wait for the table service to recover; the call is retried automatically",
        { cause },
      );
    }
  }
}
