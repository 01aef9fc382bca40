import {
  storeVersion,
  type Commit,
  type CommitCondition,
  type Feed,
  type RowName,
  type RowToWrite,
  type Scan,
  type StoreRow,
  type SubmissionId,
  type WorkerId,
} from "../../src/index.js";

interface Cell {
  version: number;
  /** Null once the row is removed. */
  row: RowToWrite | StoreRow | null;
}

interface Table {
  /** Version of the newest change. */
  version: number;
  readonly cells: Map<string, Cell>;
}

const nameOf = (row: RowName | RowToWrite): string => {
  switch (row.type) {
    case "owner":
    case "runTimes":
      return row.type;
    case "lease":
      return `lease ${row.worker}`;
    case "evacuationReport":
      return `evacuationReport ${row.report.zone}`;
    case "waveReport":
      return `waveReport ${row.wave}`;
    case "handIn":
      return `handIn ${"submission" in row ? row.submission.id : row.id}`;
    case "progress":
      return `progress ${"progress" in row ? row.progress.id : row.id}`;
    case "cancel":
      return `cancel ${row.id}`;
  }
};

const TABLE_OF_TYPE: Readonly<Record<RowToWrite["type"] | StoreRow["type"], Scan>> = {
  catalog: "operators",
  wave: "operators",
  evacuation: "operators",
  evacuationRemoved: "operators",
  evacuationReport: "progress",
  worker: "workers",
  workerGone: "workers",
  handIn: "handIns",
  cancel: "handIns",
  progress: "progress",
  waveReport: "progress",
  runTimes: "progress",
  owner: "owner",
  lease: "leases",
};

/** Size limit of a row in the platform's store, which takes values in base64. */
const MAX_ROW_BYTES = 65_536;

/** Limits of a transaction in the platform's store. */
const MAX_ENTRIES = 100;
const MAX_TRANSACTION_BYTES = 1_000_000;

const sizeOf = (row: RowToWrite): number =>
  4 * Math.ceil(Buffer.byteLength(JSON.stringify(row)) / 3);

const REPORTED_TYPES: readonly RowToWrite["type"][] = ["waveReport", "evacuationReport"];

/** Returns what the platform's store would refuse a transaction for; null if it accepts it. */
export const refusalOf = ({ conditions, writes, removes }: Commit): string | null => {
  // The reports that the operators read are written beside the rows.
  const reports = writes.filter(({ type }) => REPORTED_TYPES.includes(type)).length;
  const entries = conditions.length + writes.length + reports + removes.length;
  if (entries > MAX_ENTRIES) {
    return `TRANSACTION: it has ${entries} entries, above the limit of the store`;
  }
  const tooLarge = writes.find((row) => sizeOf(row) > MAX_ROW_BYTES);
  if (tooLarge !== undefined) {
    return `ROW: ${nameOf(tooLarge)} has ${sizeOf(tooLarge)} bytes, above the limit of the store`;
  }
  const bytes = writes.reduce((sum, row) => sum + sizeOf(row), 0);
  return bytes > MAX_TRANSACTION_BYTES
    ? `TRANSACTION: it has ${bytes} bytes, above the limit of the store`
    : null;
};

/** Stand for removed rows in feeds. */
const REMOVAL_TYPES: readonly StoreRow["type"][] = ["workerGone", "evacuationRemoved"];

/** In-memory model of the platform's store: a single version counter, transactions and feeds. */
export class MemoryStore {
  version = 1;
  /** The history up to this version is lost, so that feeds from there fail. */
  historyLostUpTo = 0;
  private readonly cells = new Map<string, Cell>();
  private readonly tables = new Map<Scan, Table>();

  /**
   * Applies a transaction if all its conditions hold.
   *
   * @returns Null if it was applied, else the present rows of its conditions.
   */
  commit(commit: Commit): readonly StoreRow[] | null {
    if (!commit.conditions.every((condition) => this.holds(condition))) {
      return commit.conditions.flatMap(({ row }) => this.read(nameOf(row)));
    }
    const refusal = refusalOf(commit);
    if (refusal !== null) {
      throw new Error(refusal);
    }
    this.version += 1;
    for (const row of commit.writes) {
      this.set(nameOf(row), row);
    }
    for (const name of commit.removes) {
      this.cells.delete(nameOf(name));
      this.tableOf(name.type).cells.delete(nameOf(name));
    }
    return null;
  }

  /** Writes a row of the operators or of a worker. */
  put(name: string, row: StoreRow): void {
    this.version += 1;
    this.set(name, row);
  }

  /** Returns all rows of a table. */
  scan(scan: Scan): readonly StoreRow[] {
    return this.changes(scan, 0).filter(({ type }) => !REMOVAL_TYPES.includes(type));
  }

  /** Returns the rows of a table that have changed after a version. */
  changes(feed: Scan | Feed, after: number): readonly StoreRow[] {
    const table = this.tables.get(feed);
    if (table === undefined || table.version <= after) {
      return [];
    }
    return [...table.cells.entries()]
      .filter(([, { version }]) => version > after)
      .sort(([, one], [, other]) => one.version - other.version)
      .flatMap(([name]) => this.read(name));
  }

  lookUp(id: SubmissionId): readonly StoreRow[] {
    return ["handIn", "cancel", "progress"].flatMap((type) => this.read(`${type} ${id}`));
  }

  removeWorker(id: WorkerId): void {
    this.put(`worker ${id}`, { type: "workerGone", version: storeVersion(0), id });
  }

  private set(name: string, row: RowToWrite | StoreRow): void {
    const cell = { version: this.version, row };
    const table = this.tableOf(row.type);
    table.version = this.version;
    table.cells.set(name, cell);
    this.cells.set(name, cell);
  }

  private tableOf(type: RowToWrite["type"] | StoreRow["type"]): Table {
    const name = TABLE_OF_TYPE[type];
    const table = this.tables.get(name) ?? { version: 0, cells: new Map<string, Cell>() };
    this.tables.set(name, table);
    return table;
  }

  private holds({ row, version }: CommitCondition): boolean {
    return (this.cells.get(nameOf(row))?.version ?? 0) === Number(version);
  }

  private read(name: string): StoreRow[] {
    const cell = this.cells.get(name);
    return cell?.row == null ? [] : [{ ...cell.row, version: storeVersion(cell.version) }];
  }
}
