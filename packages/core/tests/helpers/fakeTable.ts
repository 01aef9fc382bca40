import { tableVersion, type RowKey, type TableVersion } from "@heatherferry/common";
import type { RowBody, TableRange, TableRow, TableWrite } from "../../src/index.js";

export interface FakeReadAnswer {
  readonly rows: readonly TableRow[];
  readonly upToVersion: TableVersion;
  readonly tableTimeMs: number;
}

export type FakeWriteAnswer =
  | { readonly committed: true; readonly version: TableVersion }
  | { readonly committed: false; readonly rows: readonly TableRow[] };

/** The platform's table in memory. Its clock is set by the test. */
export class FakeTable {
  nowMs = 0;
  commits = 0;
  conflicts = 0;
  rowsWritten = 0;
  bytesWritten = 0;
  private readonly rows = new Map<RowKey, TableRow>();
  private lastVersion = 0;

  /** @returns All rows. */
  all(): readonly TableRow[] {
    return [...this.rows.values()];
  }

  row(key: RowKey): TableRow | undefined {
    return this.rows.get(key);
  }

  /** Writes a row unconditionally, as an operator would. */
  put(key: RowKey, body: RowBody): void {
    this.lastVersion += 1;
    this.store(key, body, []);
  }

  read(ranges: readonly TableRange[]): FakeReadAnswer {
    const rows = this.all().filter((row) =>
      ranges.some(
        ({ prefix, afterVersion }) => row.key.startsWith(prefix) && row.version > afterVersion,
      ),
    );
    return { rows, upToVersion: tableVersion(this.lastVersion), tableTimeMs: this.nowMs };
  }

  write(write: TableWrite): FakeWriteAnswer {
    const failed = write.conditions.filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      this.conflicts += 1;
      const rows = failed.map(({ key }) => this.rows.get(key)).filter((row) => row !== undefined);
      return { committed: false, rows };
    }
    this.commits += 1;
    this.lastVersion += 1;
    for (const put of write.puts) {
      this.rowsWritten += 1;
      this.store(put.key, put.body, put.writeIds);
    }
    return { committed: true, version: tableVersion(this.lastVersion) };
  }

  private store(key: RowKey, body: RowBody, writeIds: TableRow["writeIds"]): void {
    const version = tableVersion(this.lastVersion);
    this.rows.set(key, { key, version, committedAtMs: this.nowMs, writeIds, body });
  }
}
