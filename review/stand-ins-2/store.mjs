/**
 * Stand-in of the platform's metadata store: rows, transactions, reads and feeds as PROTOCOL.md
 * describes them. Each node has a port of its own, on which faults can be switched on.
 */
import { NO_ANSWER, serveJson } from "./server.mjs";

const TX_MS = 6;
const READ_MS = 4;
const MAX_ROWS = 500;
/** How much later a write is done whose answer is lost. */
const LATE_MS = { LEAST: 1_000, MOST: 6_000 };

const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const placeOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);

export class Store {
  rows = new Map();
  changes = [];
  version = 1;
  waiting = new Set();
  /** Time at which each part has carried out its transactions so far. */
  partFreeAtMs = new Map();
  ports = [];

  /** Writes a row at once, as the operator or a worker does. */
  put(table, key, value) {
    this.version += 1;
    this.set({
      table,
      part: "",
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
    });
    this.wake();
  }

  /** Removes a row at once. */
  drop(table, key) {
    this.version += 1;
    this.delete({ table, part: "", key });
    this.wake();
  }

  /** Returns the decoded value of a row; null if there is none. */
  read(table, part, key) {
    const row = this.rows.get(placeOf({ table, part, key }));
    return row === undefined ? null : JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
  }

  /**
   * Opens a port for one node.
   *
   * @param name - Name of the node.
   * @returns The port. `fault`, if set, receives each call and `perform`, and returns its reply.
   */
  async openPort(name) {
    const port = { name, address: "", fault: null, renewedAtMs: 0, server: null };
    port.server = await serveJson(async (method, url, body, headers, socket) => {
      const perform = () => this.perform(port, url, body);
      return port.fault === null ? perform() : port.fault(url, body, perform, socket);
    });
    port.address = port.server.address;
    this.ports.push(port);
    return port;
  }

  close() {
    this.ports.forEach(({ server }) => {
      server.close();
    });
  }

  /**
   * Has a share of the writes done late and not answered, on all ports. A channel on which an answer
   * is lost delivers nothing further.
   *
   * @param share - Share of the writes.
   * @param forMs - How long.
   * @param draw - Returns a number from 0 to 1.
   */
  loseAnswers(share, forMs, draw) {
    const silent = new WeakSet();
    const fault = (url, _body, perform, socket) => {
      if (silent.has(socket)) {
        return NO_ANSWER;
      }
      if (url.pathname !== "/api/rows-tx" || draw() >= share) {
        return perform();
      }
      silent.add(socket);
      setTimeout(perform, LATE_MS.LEAST + draw() * (LATE_MS.MOST - LATE_MS.LEAST));
      return NO_ANSWER;
    };
    this.ports.forEach((port) => {
      port.fault = fault;
    });
    setTimeout(() => {
      const onlySilent = (_url, _body, perform, socket) =>
        silent.has(socket) ? NO_ANSWER : perform();
      this.ports.forEach((port) => {
        port.fault = onlySilent;
      });
    }, forMs);
  }

  /** Returns the node that last replaced an existing row under a condition: it seems to lead. */
  leader() {
    return this.ports.reduce((one, other) => (other.renewedAtMs > one.renewedAtMs ? other : one))
      .name;
  }

  async perform(port, url, body) {
    switch (url.pathname) {
      case "/api/rows-tx":
        return this.transact(port, body);
      case "/api/rows-get":
        await pause(READ_MS);
        return this.get(url.searchParams);
      case "/api/rows-parts":
        await pause(READ_MS);
        return this.parts(url.searchParams);
      case "/api/rows-feed":
        return this.feed(url.searchParams);
      default:
        return { status: 404 };
    }
  }

  /** Transactions of one part take effect one after another, each after `TX_MS`. */
  async transact(port, body) {
    const { expectedRev = [], write = [], remove = [] } = body;
    const part = [...expectedRev, ...write, ...remove][0]?.part ?? "";
    const nowMs = performance.now();
    const doneAtMs = Math.max(nowMs, this.partFreeAtMs.get(part) ?? 0) + TX_MS;
    this.partFreeAtMs.set(part, doneAtMs);
    await pause(doneAtMs - nowMs);
    const holds = expectedRev.every(
      (place) => (this.rows.get(placeOf(place))?.ver ?? 0) === place.ver,
    );
    if (!holds) {
      const rows = expectedRev.flatMap((place) => this.rows.get(placeOf(place)) ?? []);
      return { status: 412, body: { rows, ...this.stamp() } };
    }
    if (expectedRev.some(({ ver }) => ver > 0) && write.length > 0) {
      port.renewedAtMs = performance.now();
    }
    this.version += 1;
    write.forEach((row) => {
      this.set(row);
    });
    remove.forEach((row) => {
      this.delete(row);
    });
    this.wake();
    return { status: 200, body: this.stamp() };
  }

  stamp() {
    return { ver: this.version, nowMs: Math.round(performance.now()) };
  }

  set({ table, part = "", key, value }) {
    const row = { table, part, key, value, ver: this.version };
    this.rows.set(placeOf(row), row);
    this.changes.push(row);
  }

  delete({ table, part = "", key }) {
    if (this.rows.delete(placeOf({ table, part, key }))) {
      this.changes.push({ table, part, key, deleted: true, ver: this.version });
    }
  }

  get(query) {
    const table = query.get("table");
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const until = query.get("target");
    const limit = Math.min(MAX_ROWS, Number(query.get("limit") ?? MAX_ROWS));
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter(({ key }) => until === null || key < until)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const page = rows.slice(0, limit);
    return {
      status: 200,
      body: { rows: page, hasMore: rows.length > page.length, ...this.stamp() },
    };
  }

  parts(query) {
    const ofTable = [...this.rows.values()].filter(({ table }) => table === query.get("table"));
    const parts = [...new Set(ofTable.map(({ part }) => part))].sort();
    const after = query.get("after") ?? "";
    return { status: 200, body: { parts: parts.filter((part) => part > after), hasMore: false } };
  }

  async feed(query) {
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs") ?? 0);
    for (;;) {
      const rows = this.changedAfter(query.get("table"), after);
      const leftMs = untilMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        return { status: 200, body: { rows, ...this.stamp() } };
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  /** Returns the newest change of each row of a table after a version, oldest first. */
  changedAfter(table, version) {
    const newest = new Map();
    for (const row of this.changes) {
      if (row.table === table && row.ver > version) {
        newest.delete(placeOf(row));
        newest.set(placeOf(row), row);
      }
    }
    return [...newest.values()];
  }

  wake() {
    const waiting = [...this.waiting];
    this.waiting.clear();
    waiting.forEach((resume) => {
      resume();
    });
  }
}
