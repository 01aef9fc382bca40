// Stand-in of the platform's store: rows, transactions, range reads and feeds.

import { serveJson } from "./http.mjs";

const TX_MS = 6;
const READ_MS = 4;
const MAX_ROWS = 500;
/** Tables that the system may not write to. */
const GUARDED_TABLES = ["op", "servers"];

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Store {
  #tables = new Map();
  #changes = [];
  #version = 1;
  #waiting = new Set();
  #startedMs = performance.now();

  async start() {
    const { address, close } = await serveJson((method, url, body) =>
      this.#reply(method, url, body),
    );
    this.address = address;
    this.close = close;
  }

  /** Writes a row as the operator, an executor or another writer does. */
  put(table, key, value) {
    this.#version += 1;
    this.#set(table, "", key, Buffer.from(JSON.stringify(value)).toString("base64"));
    this.#wake();
  }

  /** Returns a row's value, decoded, or null. */
  read(table, part, key) {
    const row = this.#tables.get(table)?.get(`${part}\n${key}`);
    return row === undefined ? null : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
  }

  #nowMs() {
    return Math.round(performance.now() - this.#startedMs);
  }

  #rows(table) {
    let rows = this.#tables.get(table);
    if (rows === undefined) {
      rows = new Map();
      this.#tables.set(table, rows);
    }
    return rows;
  }

  #set(table, part, key, value) {
    const row = { table, part, key, value, ver: this.#version };
    this.#rows(table).set(`${part}\n${key}`, row);
    this.#changes.push(row);
  }

  #remove(table, part, key) {
    if (this.#rows(table).delete(`${part}\n${key}`)) {
      this.#changes.push({ table, part, key, ver: this.#version, deleted: true });
    }
  }

  #wake() {
    for (const wake of this.#waiting) {
      wake();
    }
    this.#waiting.clear();
  }

  async #reply(method, url, body) {
    switch (`${method} ${url.pathname}`) {
      case "POST /api/rows-tx":
        await pause(TX_MS);
        return this.#transact(body);
      case "GET /api/rows-get":
        await pause(READ_MS);
        return this.#range(url.searchParams);
      case "GET /api/rows-feed":
        return this.#feed(url.searchParams);
      default:
        return { status: 404 };
    }
  }

  #transact({ expectedRev = [], write = [], remove = [] }) {
    if ([...write, ...remove].some(({ table }) => GUARDED_TABLES.includes(table))) {
      return { status: 403 };
    }
    const at = ({ table, part, key }) => this.#rows(table).get(`${part}\n${key}`);
    const answer = { ver: this.#version, nowMs: this.#nowMs() };
    if (expectedRev.some((row) => (at(row)?.ver ?? 0) !== row.ver)) {
      const rows = expectedRev.flatMap((row) => at(row) ?? []);
      return { status: 412, body: { ...answer, rows } };
    }
    this.#version += 1;
    write.forEach(({ table, part, key, value }) => this.#set(table, part, key, value));
    remove.forEach(({ table, part, key }) => this.#remove(table, part, key));
    this.#wake();
    return { status: 200, body: { ...answer, ver: this.#version } };
  }

  #range(query) {
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const until = query.get("target");
    const limit = Math.min(MAX_ROWS, Number(query.get("limit") ?? MAX_ROWS));
    const rows = [...this.#rows(query.get("table")).values()]
      .filter((row) => row.part === part && row.key >= from && (until === null || row.key < until))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    return {
      status: 200,
      body: {
        rows: rows.slice(0, limit),
        hasMore: rows.length > limit,
        ver: this.#version,
        nowMs: this.#nowMs(),
      },
    };
  }

  async #feed(query) {
    const table = query.get("table");
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs") ?? 0);
    const changed = () => this.#changes.filter((row) => row.table === table && row.ver > after);
    let rows = changed();
    while (rows.length === 0 && performance.now() < untilMs) {
      await Promise.race([
        new Promise((resolve) => this.#waiting.add(resolve)),
        pause(Math.max(1, untilMs - performance.now())),
      ]);
      rows = changed();
    }
    return { status: 200, body: { rows, ver: this.#version, nowMs: this.#nowMs() } };
  }
}
