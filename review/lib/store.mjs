// Stand-in for the platform's metadata store, with the limits that PROTOCOL.md and the settings
// name: entries and bytes of a call, bytes of a row, transactions a second of a part, calls a
// second, one part in a transaction. A call beyond a limit on its form is answered with 400, one
// beyond a rate with 429; neither does anything.
import { sleep, startServer } from "./http.mjs";

const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_048_576;
const MAX_NAME_BYTES = 200;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_048_576;
const READ_ONLY_TABLES = ["op", "servers"];

/** Counts calls in the last second. */
class Rate {
  #times = [];

  constructor(perS) {
    this.perS = perS;
  }

  take() {
    const now = performance.now();
    while (this.#times.length > 0 && this.#times[0] <= now - 1_000) {
      this.#times.shift();
    }
    if (this.#times.length >= this.perS) {
      return false;
    }
    this.#times.push(now);
    return true;
  }
}

export class Store {
  #rows = new Map();
  #changes = [];
  #waiters = new Set();
  #partFreeAt = new Map();
  #version = 1;
  /** Transactions that were answered with 400, with the limit that they exceed. */
  tooLarge = [];
  /** Answers by status. */
  answers = {};

  constructor(settings) {
    this.settings = settings;
    this.writes = new Rate(settings.writesPerS);
    this.reads = new Rate(settings.readsPerS);
  }

  async start() {
    this.server = await startServer(async (incoming) => {
      const reply = await this.#answer(incoming);
      this.answers[reply.status] = (this.answers[reply.status] ?? 0) + 1;
      return reply;
    });
    this.address = this.server.address;
  }

  close() {
    this.server?.close();
  }

  static #id({ table, part, key }) {
    return `${table}\n${part ?? ""}\n${key}`;
  }

  #set(row, ver) {
    const stored = { table: row.table, part: row.part ?? "", key: row.key, value: row.value, ver };
    this.#rows.set(Store.#id(stored), stored);
    this.#changed(stored);
  }

  #delete(row, ver) {
    if (this.#rows.delete(Store.#id(row))) {
      this.#changed({ table: row.table, part: row.part ?? "", key: row.key, ver, deleted: true });
    }
  }

  #changed(row) {
    this.#changes.push(row);
    this.#waiters.forEach((wake) => wake());
  }

  /** Writes a row as the operator or an executor does. */
  put(table, key, body) {
    this.#version += 1;
    const value = Buffer.from(JSON.stringify(body)).toString("base64");
    this.#set({ table, part: "", key, value }, this.#version);
  }

  /** Removes a row, as the store does when an executor has left. */
  drop(table, key) {
    this.#version += 1;
    this.#delete({ table, part: "", key }, this.#version);
  }

  /** Returns the body of a row; null without one. */
  get(table, key, part = "") {
    const row = this.#rows.get(Store.#id({ table, part, key }));
    return row === undefined ? null : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
  }

  /** Returns the rows of a table with their bodies. */
  list(table) {
    return [...this.#rows.values()]
      .filter((row) => row.table === table)
      .map((row) => ({ key: row.key, body: this.get(table, row.key, row.part) }));
  }

  async #answer({ path, query, body, bytes }) {
    const reads = path !== "/api/rows-tx";
    if (!(reads ? this.reads : this.writes).take()) {
      return { status: 429 };
    }
    switch (path) {
      case "/api/rows-tx":
        return this.#transact(body, bytes);
      case "/api/rows-get":
        await sleep(2);
        return { status: 200, body: this.#range(query) };
      case "/api/rows-feed":
        return { status: 200, body: await this.#feed(query) };
      default:
        return { status: 404 };
    }
  }

  #excess({ expectedRev, write, remove }, bytes) {
    const entries = expectedRev.length + write.length + remove.length;
    const all = [...expectedRev, ...write, ...remove];
    if (entries > MAX_ENTRIES) {
      return `${entries} entries; a call holds at most ${MAX_ENTRIES}`;
    }
    if (bytes > MAX_CALL_BYTES) {
      return `${bytes} bytes; a call holds at most 1 MB`;
    }
    const large = write.find(
      ({ value }) => Buffer.from(value, "base64").length > this.settings.rowBytes,
    );
    if (large !== undefined) {
      const size = Buffer.from(large.value, "base64").length;
      return `row ${large.table}/${large.key} has ${size} bytes; rowBytes is ${this.settings.rowBytes}`;
    }
    const long = all.some((row) =>
      [row.table, row.part ?? "", row.key].some((name) => Buffer.byteLength(name) > MAX_NAME_BYTES),
    );
    if (long) {
      return `a name is longer than ${MAX_NAME_BYTES} bytes`;
    }
    return new Set(all.map(({ part }) => part ?? "")).size > 1 ? "several parts" : null;
  }

  async #transact(transaction, bytes) {
    const tx = {
      expectedRev: transaction.expectedRev ?? [],
      write: transaction.write ?? [],
      remove: transaction.remove ?? [],
    };
    const excess = this.#excess(tx, bytes);
    if (excess !== null) {
      this.tooLarge.push({ at: Date.now(), excess });
      return { status: 400 };
    }
    if ([...tx.write, ...tx.remove].some(({ table }) => READ_ONLY_TABLES.includes(table))) {
      return { status: 403 };
    }
    const part = (tx.expectedRev[0] ?? tx.write[0] ?? tx.remove[0])?.part ?? "";
    const now = performance.now();
    const startsAt = Math.max(now, this.#partFreeAt.get(part) ?? 0);
    if (startsAt - now > 1_000) {
      return { status: 429 };
    }
    const endsAt = startsAt + 1_000 / this.settings.commitsPerS;
    this.#partFreeAt.set(part, endsAt);
    await sleep(endsAt - now);
    return this.#apply(tx);
  }

  #apply({ expectedRev, write, remove }) {
    const present = (row) => this.#rows.get(Store.#id(row));
    if (!expectedRev.every((row) => (present(row)?.ver ?? 0) === row.ver)) {
      const rows = expectedRev.flatMap((row) => present(row) ?? []);
      return { status: 412, body: { rows, ...this.#now() } };
    }
    this.#version += 1;
    write.forEach((row) => this.#set(row, this.#version));
    remove.forEach((row) => this.#delete(row, this.#version));
    return { status: 200, body: this.#now() };
  }

  #now() {
    return { ver: this.#version, nowMs: performance.now() };
  }

  #range(query) {
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const until = query.get("target");
    const limit = Math.min(PAGE_ROWS, Number(query.get("limit") ?? PAGE_ROWS));
    const all = [...this.#rows.values()]
      .filter((row) => row.table === query.get("table") && row.part === part)
      .filter(({ key }) => key >= from && (until === null || key < until))
      .sort((one, other) => Buffer.compare(Buffer.from(one.key), Buffer.from(other.key)));
    const rows = [];
    let bytes = 0;
    for (const row of all) {
      bytes += row.value.length;
      if (rows.length >= limit || (rows.length > 0 && bytes > PAGE_BYTES)) {
        break;
      }
      rows.push(row);
    }
    return { rows, hasMore: rows.length < all.length, ...this.#now() };
  }

  async #feed(query) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const until = performance.now() + Math.min(30_000, Number(query.get("waitMs") ?? 0));
    for (;;) {
      const newest = new Map();
      for (let i = this.#changes.length - 1; i >= 0 && this.#changes[i].ver > after; i -= 1) {
        const row = this.#changes[i];
        if (row.table === table && !newest.has(Store.#id(row))) {
          newest.set(Store.#id(row), row);
        }
      }
      const left = until - performance.now();
      if (newest.size > 0 || left <= 0) {
        return { rows: [...newest.values()].reverse(), ...this.#now() };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiters.add(wake);
      });
    }
  }
}
