import type { RowKey } from "@heatherferry/common";
import type { RowBody, TableRow } from "@heatherferry/core";

type RowType = RowBody["type"];
type BodyOf<T extends RowType> = Extract<RowBody, { readonly type: T }>;

const isRowOf = <T extends RowType>(row: TableRow, type: T): row is TableRow<BodyOf<T>> =>
  row.body.type === type;

/** Rows of one consistent read. */
export class TableView {
  /**
   * @param rows - The rows as they were read.
   * @param tableTimeMs - The table's clock when it answered.
   */
  constructor(
    private readonly rows: readonly TableRow[],
    readonly tableTimeMs: number,
  ) {}

  /**
   * @param type - A type of row.
   * @returns All rows of that type, in order of their keys.
   */
  ofType<T extends RowType>(type: T): readonly TableRow<BodyOf<T>>[] {
    return this.rows
      .filter((row) => isRowOf(row, type))
      .sort((a, b) => (a.key < b.key ? -1 : Number(a.key > b.key)));
  }

  /**
   * @param type - A type of row.
   * @param key - Its key.
   * @returns The row; null when it does not exist.
   */
  find<T extends RowType>(type: T, key: RowKey): TableRow<BodyOf<T>> | null {
    return this.ofType(type).find((row) => row.key === key) ?? null;
  }
}
