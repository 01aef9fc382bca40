// A small site: a store, machines with executors, an interface for machines, and three processes of
// the product. Calls of clients go to one node after the other, as retries do.

import { writeFileSync } from "node:fs";
import { setTimeout as pause } from "node:timers/promises";
import { Executor } from "./executor.mjs";
import { Hosts } from "./hosts.mjs";
import { callJson } from "./http.mjs";
import { Node } from "./node.mjs";
import { Store } from "./store.mjs";

export { pause };

export const HOST = "pule25.example";
export const CAPACITY = { cpu: 16_000, memMb: 65_536, gpu: 0 };
const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Exit codes of a script. */
export const RESULT = { HELD: 0, BROKEN: 1, CANNOT_RUN: 2 };

/** Whether the script brings its disruption about. */
export const TROUBLE = process.env.TROUBLE !== "0";

export class Site {
  #lines = [];
  #t0 = performance.now();
  #next = 0;
  #lives = 0;
  executors = new Map();

  /** `machines`: name to `{ pool, zone, rack }`; `config`: the operator's. */
  constructor({ machines, config, standbyPool = null }) {
    this.config = config;
    this.store = new Store();
    this.record = (what, fields = {}) => {
      const atS = ((performance.now() - this.#t0) / 1_000).toFixed(3);
      this.#lines.push({ atS: Number(atS), what, ...fields });
    };
    this.hosts = new Hosts(
      this.record,
      { begin: (host) => void this.#begin(host), finish: (host) => this.#finish(host) },
      standbyPool,
    );
    for (const [machine, at] of Object.entries(machines)) {
      this.hosts.add(machine, { capacity: CAPACITY, ...at });
    }
  }

  /** Records of one kind. */
  records(what) {
    return this.#lines.filter((line) => line.what === what);
  }

  get nowS() {
    return (performance.now() - this.#t0) / 1_000;
  }

  /** Starts everything; returns false if the nodes don't become ready in time. */
  async start() {
    await this.store.start();
    await this.hosts.start();
    this.store.put("op", "config", this.config);
    for (const host of this.hosts.machines.values()) {
      if (host.pool !== this.hosts.standbyPool) {
        await this.#begin(host);
      }
    }
    this.nodes = ZONES.map(
      (zone, index) =>
        new Node(`node-${index}`, zone, this.store.address, this.hosts.address, this.record),
    );
    await Promise.all(this.nodes.map((node) => node.start()));
    return this.until(20, async () => {
      const ready = await Promise.all(this.nodes.map((node) => node.isReady()));
      return ready.every(Boolean) && this.owner() !== null;
    });
  }

  /** The node that holds ownership by the store's row; null if none does. */
  owner() {
    const row = this.store.read("heatherferry-owner", "", "all-pools");
    const { holder, released, pending } = row?.owner ?? row ?? {};
    const name = released === false && pending !== null ? holder.split("@")[0] : null;
    return this.nodes.find((node) => node.name === name) ?? null;
  }

  async #begin(host) {
    this.#lives += 1;
    const executor = new Executor(
      `i-${host.machine}-${this.#lives}`,
      { ...host, service: host.pool, rack: host.labels[1] },
      this.store,
      this.record,
    );
    await executor.start();
    host.id = executor.id;
    this.executors.set(host.machine, executor);
  }

  #finish(host) {
    this.executors.get(host.machine)?.end("the machine went down");
    this.executors.delete(host.machine);
  }

  /** Waits until a condition holds; returns whether it came to hold in time. */
  async until(seconds, condition) {
    const untilMs = performance.now() + seconds * 1_000;
    while (performance.now() < untilMs) {
      if (await condition()) {
        return true;
      }
      await pause(100);
    }
    return false;
  }

  /** Makes a client's call once, at the next node. */
  async call(method, path, { key, body, timeoutMs = 3_000, node } = {}) {
    this.#next += 1;
    const at = node ?? this.nodes[this.#next % this.nodes.length];
    const headers = {
      host: HOST,
      "deadline-ms": String(timeoutMs),
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    };
    const answer = await callJson(at.address, method, path, { headers, body, timeoutMs });
    this.record("call", { method, path, node: at.name, status: answer.status, ...answer.body });
    return answer;
  }

  /** Makes a call, again at other nodes while it gets no answer, 429, 502, 503 or 504. */
  async insist(method, path, options, attempts = 5) {
    let answer = { status: null, body: {} };
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      answer = await this.call(method, path, options);
      if (answer.status !== null && ![429, 502, 503, 504].includes(answer.status)) {
        return answer;
      }
      await pause(500);
    }
    return answer;
  }

  /** Ends all that was started and writes the record. */
  async finish(path, result, verdict) {
    this.record("verdict", { result, verdict });
    await Promise.all((this.nodes ?? []).map((node) => node.end()));
    this.executors.forEach((executor) => executor.close());
    this.hosts.close?.();
    this.store.close?.();
    const text = this.#lines
      .map(({ atS, what, ...fields }) => `${atS.toFixed(3)} ${what} ${JSON.stringify(fields)}`)
      .join("\n");
    writeFileSync(path, `${text}\n`);
    console.log(`${TROUBLE ? "with" : "without"} the disruption: ${verdict}`);
    process.exit(result);
  }
}

/** Runs a script within its time; anything that goes wrong in it counts as not run. */
export const runCase = async (site, recordPath, play) => {
  const watchdog = setTimeout(() => {
    void site.finish(recordPath, RESULT.CANNOT_RUN, "took too long");
  }, 110_000);
  process.once("SIGTERM", () => void site.finish(recordPath, RESULT.CANNOT_RUN, "was ended"));
  try {
    const { result, verdict } = await play();
    clearTimeout(watchdog);
    await site.finish(recordPath, result, verdict);
  } catch (error) {
    await site.finish(recordPath, RESULT.CANNOT_RUN, `failed: ${error.stack}`);
  }
};
