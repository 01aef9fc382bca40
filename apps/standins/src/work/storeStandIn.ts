import { JsonServer, type Reply } from "./jsonServer.js";
import { StoreTable, type RowLocation } from "./storeTable.js";

interface TableRowLocation extends RowLocation {
  readonly table: string;
}

interface Transaction {
  readonly expectedRev: readonly (TableRowLocation & { readonly ver: number })[];
  readonly write: readonly (TableRowLocation & { readonly value: string })[];
  readonly remove: readonly TableRowLocation[];
}

/** Store that speaks the platform's protocol: rows, transactions, range reads, change feeds. */
export class StoreStandIn extends JsonServer {
  private readonly tables = new Map<string, StoreTable>();
  private version = 1;
  /** Number of transactions from now on that take effect but whose reply is lost. */
  repliesToLose = 0;
  /** HTTP status with which to refuse every call; null to refuse none. */
  refusalStatus: number | null = null;
  /** Delay before each call is handled, in ms. */
  answerDelayMs = 0;
  /** Number of range reads from now on whose reply is lost. */
  readRepliesToLose = 0;
  /** The feed answers 410 to a reader that asks for changes after a version below this one. */
  compactedUpToVersion = 0;
  callCount = 0;

  /** Writes a row, as an operator or a worker does. */
  put(table: string, key: string, body: unknown): void {
    const value = Buffer.from(typeof body === "string" ? body : JSON.stringify(body));
    this.version += 1;
    const row = { table, part: "", key, value: value.toString("base64"), ver: this.version };
    this.table(table).set(row);
  }

  /** Removes a row, as the store does with the registrations of unresponsive workers. */
  remove(table: string, key: string): void {
    this.version += 1;
    this.table(table).remove({ part: "", key }, this.version);
  }

  /** Answers 410 to every reader of a feed that asks for changes up to now. */
  dropHistory(): void {
    this.compactedUpToVersion = this.version;
  }

  /** Returns the value of a row as text, or null if there is no such row. */
  readText(table: string, part: string, key: string): string | null {
    const value = this.table(table).get({ part, key })?.value;
    return value == null ? null : Buffer.from(value, "base64").toString("utf8");
  }

  protected override async reply(_method: string, url: URL, body: unknown): Promise<Reply> {
    this.callCount += 1;
    if (this.answerDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.answerDelayMs));
    }
    if (this.refusalStatus !== null) {
      return { status: this.refusalStatus };
    }
    switch (url.pathname) {
      case "/api/rows-tx":
        return this.transact(body as Transaction);
      case "/api/rows-get":
        this.readRepliesToLose -= 1;
        return {
          status: 200,
          body: this.range(url.searchParams),
          lost: this.readRepliesToLose >= 0,
        };
      case "/api/rows-feed":
        return this.feed(url.searchParams);
      default:
        return { status: 404 };
    }
  }

  private table(name: string): StoreTable {
    let table = this.tables.get(name);
    if (table === undefined) {
      table = new StoreTable();
      this.tables.set(name, table);
    }
    return table;
  }

  private transact(transaction: Transaction): Reply {
    const conditionsHold = transaction.expectedRev.every(
      (place) => (this.table(place.table).get(place)?.ver ?? 0) === place.ver,
    );
    if (!conditionsHold) {
      const rows = transaction.expectedRev.flatMap(
        (place) => this.table(place.table).get(place) ?? [],
      );
      return { status: 412, body: { rows, ver: this.version, nowMs: performance.now() } };
    }
    this.version += 1;
    for (const row of transaction.write) {
      this.table(row.table).set({ ...row, ver: this.version });
    }
    for (const place of transaction.remove) {
      this.table(place.table).remove(place, this.version);
    }
    const lost = this.repliesToLose > 0;
    this.repliesToLose -= lost ? 1 : 0;
    return { status: 200, body: { ver: this.version, nowMs: performance.now() }, lost };
  }

  private range(query: URLSearchParams): unknown {
    const limit = Number(query.get("limit") ?? 500);
    const rows = this.table(query.get("table") ?? "").range(
      query.get("part") ?? "",
      query.get("from") ?? "",
      query.get("target"),
    );
    return {
      rows: rows.slice(0, limit),
      hasMore: rows.length > limit,
      ver: this.version,
      nowMs: performance.now(),
    };
  }

  private async feed(query: URLSearchParams): Promise<Reply> {
    const after = Number(query.get("after"));
    if (after < this.compactedUpToVersion) {
      return { status: 410 };
    }
    const table = this.table(query.get("table") ?? "");
    const untilMs = performance.now() + Number(query.get("waitMs"));
    let rows = table.changedAfter(after);
    while (rows.length === 0 && performance.now() < untilMs) {
      await table.nextChange(untilMs - performance.now());
      rows = table.changedAfter(after);
    }
    return { status: 200, body: { rows, ver: this.version, nowMs: performance.now() } };
  }
}
