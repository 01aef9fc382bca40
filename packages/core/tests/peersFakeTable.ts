import { tableVersion, type RowKey } from "@heatherferry/common";
import type { RowPut, TableRange, TableRow, TableWrite } from "../src/index.js";

/** An in-memory fake of the platform's table. */
export class FakeTable {
  readonly rows = new Map<RowKey, TableRow>();
  version = 0;
  writes = 0;

  read(ranges: readonly TableRange[]): readonly TableRow[] {
    return [...this.rows.values()].filter((row) =>
      ranges.some(
        ({ prefix, afterVersion }) => row.key.startsWith(prefix) && row.version > afterVersion,
      ),
    );
  }

  /** Returns null if the write took effect, else the rows whose conditions failed. */
  write(write: TableWrite, nowMs: number): readonly TableRow[] | null {
    this.writes += 1;
    const failed = write.conditions.filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      return failed.map(({ key }) => this.rows.get(key)).filter((row) => row !== undefined);
    }
    this.version += 1;
    for (const put of write.puts) {
      this.put(put, nowMs);
    }
    return null;
  }

  /** Writes a row unconditionally, as an operator would. */
  commit(put: Omit<RowPut, "writeIds">, nowMs: number): void {
    this.version += 1;
    this.put({ ...put, writeIds: [] }, nowMs);
  }

  private put({ key, writeIds, body }: RowPut, nowMs: number): void {
    const version = tableVersion(this.version);
    this.rows.set(key, { key, version, committedAtMs: nowMs, writeIds, body });
  }
}
