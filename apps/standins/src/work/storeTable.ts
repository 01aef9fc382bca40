import { ChangeSignal } from "./changeSignal.js";

/** Location of a row within its table. */
export interface RowLocation {
  readonly part: string;
  readonly key: string;
}

/** Row in the form of the store's answers. */
export interface StandInRow extends RowLocation {
  readonly table: string;
  readonly value: string | null;
  readonly ver: number;
  readonly deleted?: boolean;
}

/** One table of the store: its rows, and all its changes in order. */
export class StoreTable {
  private readonly parts = new Map<string, Map<string, StandInRow>>();
  private readonly changes: StandInRow[] = [];
  private readonly changeSignal = new ChangeSignal();

  get({ part, key }: RowLocation): StandInRow | null {
    return this.parts.get(part)?.get(key) ?? null;
  }

  set(row: StandInRow): void {
    let rows = this.parts.get(row.part);
    if (rows === undefined) {
      rows = new Map();
      this.parts.set(row.part, rows);
    }
    rows.set(row.key, row);
    this.recordChange(row);
  }

  remove({ part, key }: RowLocation, ver: number): void {
    const row = this.parts.get(part)?.get(key);
    if (row !== undefined) {
      this.parts.get(part)?.delete(key);
      this.recordChange({ ...row, value: null, ver, deleted: true });
    }
  }

  /**
   * Returns rows of a part, sorted by key.
   *
   * @param part - The part of the table.
   * @param from - First key, inclusive.
   * @param until - End of the range, exclusive; null for no end.
   */
  range(part: string, from: string, until: string | null): readonly StandInRow[] {
    return [...(this.parts.get(part)?.values() ?? [])]
      .filter(({ key }) => key >= from && (until === null || key < until))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
  }

  /** Returns the newest change of each row that changed after a version, oldest change first. */
  changedAfter(version: number): readonly StandInRow[] {
    const from = this.changes.findLastIndex(({ ver }) => ver <= version) + 1;
    const newest = new Map<string, StandInRow>();
    for (const row of this.changes.slice(from)) {
      const name = `${row.part}\n${row.key}`;
      newest.delete(name);
      newest.set(name, row);
    }
    return [...newest.values()];
  }

  /** Waits for the next change, at most `waitMs`. */
  async nextChange(waitMs: number): Promise<void> {
    await this.changeSignal.next(waitMs);
  }

  private recordChange(row: StandInRow): void {
    this.changes.push(row);
    this.changeSignal.notify();
  }
}
