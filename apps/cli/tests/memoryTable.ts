import { type RowKey, rowKey, tableVersion } from "@heatherferry/common";
import type { RowBody, TableRange, TableRow, TableWrite } from "@heatherferry/core";
import {
  PLATFORM_ERROR_KIND,
  PlatformError,
  PlatformTable,
  type TableReadResult,
  type TableWriteResult,
} from "@heatherferry/runners";

/** A write's request is lost before the commit, or its reply is lost after the commit. */
export type Fault = "lostBefore" | "lostAfter";

const unreachableError = (): PlatformError =>
  new PlatformError(PLATFORM_ERROR_KIND.UNREACHABLE, "The table did not answer", "Wait for it");

/** In-memory platform table that injects faults. */
export class MemoryTable extends PlatformTable {
  nowMs = 1_000_000;
  reads = 0;
  writes = 0;
  /** Number of next reads that fail. */
  readFaults = 0;
  /** Faults of the next writes, in order. */
  writeFaults: Fault[] = [];
  /** Called once, before the next write, to interleave another command. */
  beforeWrite: (() => Promise<void>) | null = null;
  /** Called at each read, before its rows are collected. */
  onRead: (() => void) | null = null;
  private version = 0;
  private readonly rows = new Map<RowKey, TableRow>();

  override async read(ranges: readonly TableRange[]): Promise<TableReadResult> {
    await Promise.resolve();
    this.reads += 1;
    if (this.readFaults > 0) {
      this.readFaults -= 1;
      throw unreachableError();
    }
    this.onRead?.();
    const rows = [...this.rows.values()].filter(({ key }) =>
      ranges.some(({ prefix }) => key.startsWith(prefix)),
    );
    return { rows, upToVersion: tableVersion(this.version), tableTimeMs: this.nowMs };
  }

  override async write(write: TableWrite): Promise<TableWriteResult> {
    const hook = this.beforeWrite;
    this.beforeWrite = null;
    await hook?.();
    this.writes += 1;
    const fault = this.writeFaults.shift();
    if (fault === "lostBefore") {
      throw unreachableError();
    }
    const result = this.commit(write);
    if (fault === "lostAfter") {
      throw unreachableError();
    }
    return result;
  }

  override async close(): Promise<void> {
    await Promise.resolve();
  }

  put(key: string, body: RowBody, committedAtMs = this.nowMs): void {
    this.version += 1;
    const version = tableVersion(this.version);
    this.rows.set(rowKey(key), { key: rowKey(key), version, committedAtMs, writeIds: [], body });
  }

  body<T extends RowBody["type"]>(type: T, key: string): Extract<RowBody, { type: T }> {
    const body = this.rows.get(rowKey(key))?.body;
    if (body?.type !== type) {
      throw new Error(`no ${type} row at ${key}`);
    }
    return body as Extract<RowBody, { type: T }>;
  }

  keys(prefix: string): string[] {
    return [...this.rows.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  private commit(write: TableWrite): TableWriteResult {
    const failed = write.conditions.filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      const rows = failed.flatMap(({ key }) => this.rows.get(key) ?? []);
      return { type: "conflicted", rows };
    }
    this.version += 1;
    const version = tableVersion(this.version);
    for (const put of write.puts) {
      this.rows.set(put.key, { ...put, version, committedAtMs: this.nowMs });
    }
    return { type: "committed", version };
  }
}
