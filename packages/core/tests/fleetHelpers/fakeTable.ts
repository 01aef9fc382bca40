import {
  rowKey,
  tableVersion,
  writeId,
  type RowKey,
  type TableVersion,
} from "@heatherferry/common";
import type { RowBody, TableRange, TableRow, TableWrite } from "../../src/index.js";

/** Checks a commit, given the rows before it and the rows that it writes. */
type CommitCheck = (before: ReadonlyMap<RowKey, TableRow>, after: readonly TableRow[]) => void;

/** An in-memory table on the test's virtual clock. */
export class FakeTable {
  readonly rows = new Map<RowKey, TableRow>();
  /** Called before each commit takes effect. */
  onCommit: CommitCheck = () => undefined;
  private version = tableVersion(0);

  read(ranges: readonly TableRange[]): { rows: readonly TableRow[]; version: TableVersion } {
    const rows = [...this.rows.values()].filter((row) =>
      ranges.some(
        ({ prefix, afterVersion }) => row.key.startsWith(prefix) && row.version > afterVersion,
      ),
    );
    return { rows, version: this.version };
  }

  write(write: TableWrite, nowMs: number): TableVersion | readonly TableRow[] {
    const failed = write.conditions.filter(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      return failed.flatMap(({ key }) => this.rows.get(key) ?? []);
    }
    this.version = tableVersion(this.version + 1);
    const { version } = this;
    const rows = write.puts.map((put) => ({ ...put, version, committedAtMs: nowMs }));
    this.onCommit(this.rows, rows);
    rows.forEach((row) => this.rows.set(row.key, row));
    return this.version;
  }

  /** Writes rows in one unconditional transaction, in the role of an operator. */
  put(nowMs: number, ...bodies: readonly (readonly [key: string, body: RowBody])[]): void {
    const puts = bodies.map(([key, body]) => ({
      key: rowKey(key),
      writeIds: this.rows.get(rowKey(key))?.writeIds ?? [],
      body,
    }));
    this.write({ writeId: writeId("operator"), conditions: [], puts }, nowMs);
  }

  body<Type extends RowBody["type"]>(key: string, type: Type): Extract<RowBody, { type: Type }> {
    const body = this.rows.get(rowKey(key))?.body;
    if (body?.type !== type) {
      throw new Error(`The table has no row of type ${type} under ${key}`);
    }
    return body as Extract<RowBody, { type: Type }>;
  }
}
