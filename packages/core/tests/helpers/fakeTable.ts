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

/** An in-memory version of the platform's table; the test sets its clock. */
export class FakeTable {
  nowMs = 0;
  commits = 0;
  conflicts = 0;
  rowsWritten = 0;
  rowsRead = 0;
  bytesRead = 0;
  private readonly rows = new Map<RowKey, TableRow>();
  private readonly rowBytes = new Map<RowKey, number>();
  private readonly log: TableRow[] = [];
  private lastVersion = 0;

  /** Returns all rows. */
  all(): readonly TableRow[] {
    return [...this.rows.values()];
  }

  row(key: RowKey): TableRow | undefined {
    return this.rows.get(key);
  }

  /** Writes a row unconditionally, as an operator's command does. */
  put(key: RowKey, body: RowBody): void {
    this.lastVersion += 1;
    this.store(key, body, []);
  }

  read(ranges: readonly TableRange[]): FakeReadAnswer {
    const matching = new Set(ranges.flatMap((range) => this.changedIn(range)));
    const rows = [...matching];
    this.rowsRead += rows.length;
    this.bytesRead += rows.reduce((sum, row) => sum + (this.rowBytes.get(row.key) ?? 0), 0);
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

  /** Scans from the newest write backwards, so that a read without changes costs nothing. */
  private changedIn({ prefix, afterVersion }: TableRange): readonly TableRow[] {
    if (afterVersion === 0) {
      return this.all().filter((row) => row.key.startsWith(prefix));
    }
    const changed: TableRow[] = [];
    for (let index = this.log.length - 1; index >= 0; index -= 1) {
      const row = this.log[index];
      if (row === undefined || row.version <= afterVersion) {
        break;
      }
      if (row.key.startsWith(prefix) && this.rows.get(row.key) === row) {
        changed.push(row);
      }
    }
    return changed;
  }

  private store(key: RowKey, body: RowBody, writeIds: TableRow["writeIds"]): void {
    const version = tableVersion(this.lastVersion);
    const row = { key, version, committedAtMs: this.nowMs, writeIds, body };
    this.rows.set(key, row);
    this.log.push(row);
    this.rowBytes.set(key, JSON.stringify(row).length);
  }
}
