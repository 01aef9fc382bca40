import { tableVersion, type RowKey, type TableVersion } from "@heatherferry/common";
import type { RowPut, TableRange, TableRow, TableWrite } from "@heatherferry/core";

/** In-memory platform table. A log of rows by version lets reads skip the unchanged rows. */
export class MemoryTable {
  readonly rows = new Map<RowKey, TableRow>();
  writes = 0;
  private readonly log: TableRow[] = [];

  get version(): TableVersion {
    return tableVersion(this.log.at(-1)?.version ?? 0);
  }

  read(ranges: readonly TableRange[]): readonly TableRow[] {
    const changedRows = new Map<RowKey, TableRow>();
    const after = Math.min(...ranges.map(({ afterVersion }) => afterVersion));
    for (let index = this.log.length - 1; index >= 0; index -= 1) {
      const row = this.log[index];
      if (row === undefined || row.version <= after) {
        break;
      }
      if (!changedRows.has(row.key)) {
        changedRows.set(row.key, row);
      }
    }
    return [...changedRows.values()];
  }

  /** @returns Whether the transaction was committed. */
  write({ conditions, puts }: TableWrite, nowMs: number): boolean {
    this.writes += 1;
    if (conditions.some(({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version)) {
      return false;
    }
    this.put(puts, nowMs);
    return true;
  }

  put(puts: readonly RowPut[], nowMs: number): void {
    const version = tableVersion(this.version + 1);
    for (const put of puts) {
      const row = { ...put, version, committedAtMs: nowMs };
      this.rows.set(put.key, row);
      this.log.push(row);
    }
  }
}
