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
   * @param tableTimeMs - Time of the table's clock at the read, in milliseconds.
   */
  constructor(
    private readonly rows: readonly TableRow[],
    readonly tableTimeMs: number,
  ) {}

  /**
   * Returns all rows of a type, in order of their keys.
   *
   * @param type - Type of the rows.
   */
  ofType<T extends RowType>(type: T): readonly TableRow<BodyOf<T>>[] {
    return this.rows
      .filter((row) => isRowOf(row, type))
      .sort((a, b) => (a.key < b.key ? -1 : Number(a.key > b.key)));
  }

  /**
   * Returns the row of a type with a key; null if it does not exist.
   *
   * @param type - Type of the row.
   * @param key - Key of the row.
   */
  find<T extends RowType>(type: T, key: RowKey): TableRow<BodyOf<T>> | null {
    return this.ofType(type).find((row) => row.key === key) ?? null;
  }
}
