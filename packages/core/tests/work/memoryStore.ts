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
  /** Null once removed. */
  row: RowToWrite | StoreRow | null;
}

const nameOf = (row: RowName | RowToWrite): string => {
  switch (row.type) {
    case "owner":
      return "owner";
    case "lease":
      return `lease ${row.worker}`;
    case "waveReport":
      return `waveReport ${row.wave}`;
    case "handIn":
      return `handIn ${"handIn" in row ? row.handIn.id : row.id}`;
    case "progress":
      return `progress ${"progress" in row ? row.progress.id : row.id}`;
    case "cancel":
      return `cancel ${row.id}`;
  }
};

const TABLE_OF_TYPE: Readonly<Record<string, Scan>> = {
  catalog: "operators",
  wave: "operators",
  worker: "workers",
  workerGone: "workers",
  handIn: "handIns",
  cancel: "handIns",
  progress: "progress",
  waveReport: "progress",
  owner: "owner",
  lease: "leases",
};

/** Bytes that the platform's store takes of a row. */
const ROW_BYTES = 65_536;

const checkSize = (row: RowToWrite): void => {
  const bytes = Buffer.byteLength(JSON.stringify(row));
  if (bytes > ROW_BYTES) {
    throw new Error(`ROW: ${nameOf(row)} has ${bytes} bytes`);
  }
};

/** The platform's store in memory: one counter of versions, transactions, feeds. */
export class MemoryStore {
  version = 1;
  /** Changes up to this version are not kept any more. */
  forgottenUpTo = 0;
  private readonly cells = new Map<string, Cell>();

  /** @returns Null if every condition holds and the commit was done, else the rows in the way. */
  commit(commit: Commit): readonly StoreRow[] | null {
    if (!commit.conditions.every((condition) => this.holds(condition))) {
      return commit.conditions.flatMap(({ row }) => this.read(nameOf(row)));
    }
    this.version += 1;
    commit.writes.forEach(checkSize);
    for (const row of commit.writes) {
      this.cells.set(nameOf(row), { version: this.version, row });
    }
    for (const name of commit.removes) {
      this.cells.delete(nameOf(name));
    }
    return null;
  }

  /** Writes a row that the operators or a worker own. */
  put(name: string, row: StoreRow): void {
    this.version += 1;
    this.cells.set(name, { version: this.version, row });
  }

  scan(scan: Scan): readonly StoreRow[] {
    return this.changes(scan, 0).filter(({ type }) => type !== "workerGone");
  }

  changes(feed: Scan | Feed, after: number): readonly StoreRow[] {
    return [...this.cells.entries()]
      .filter(([, { row, version }]) => version > after && TABLE_OF_TYPE[row?.type ?? ""] === feed)
      .sort(([, one], [, other]) => one.version - other.version)
      .flatMap(([name]) => this.read(name));
  }

  lookUp(id: SubmissionId): readonly StoreRow[] {
    return ["handIn", "cancel", "progress"].flatMap((type) => this.read(`${type} ${id}`));
  }

  workerGone(id: WorkerId): void {
    this.put(`worker ${id}`, { type: "workerGone", version: storeVersion(0), id });
  }

  private holds({ row, version }: CommitCondition): boolean {
    return (this.cells.get(nameOf(row))?.version ?? 0) === Number(version);
  }

  private read(name: string): StoreRow[] {
    const cell = this.cells.get(name);
    return cell?.row == null ? [] : [{ ...cell.row, version: storeVersion(cell.version) }];
  }
}
