// Stand-in of the platform's interface for machines: lists, moves and upkeep, with a fence number for
// each machine.

import { serveJson } from "./http.mjs";

const MOVE_MS = 1_500;
const UPKEEP_MS = 2_000;

export class Hosts {
  machines = new Map();
  /** Machines of each wave, and those that have had their upkeep, as `machine wave`. */
  waves = new Map();
  done = new Set();
  /**
   * Decides on an order before it is carried out: returns null to carry it out now, or a promise
   * after which it is carried out without an answer.
   */
  delay = () => null;
  #fences = new Map();

  /** `begin` starts an executor on a machine that is up in its pool, `finish` ends the present one. */
  constructor(record, { begin, finish }, standbyPool) {
    Object.assign(this, { record, begin, finish, standbyPool });
  }

  async start() {
    const { address, close } = await serveJson((method, url, body, headers) =>
      this.#reply(method, url, body, headers),
    );
    this.address = address;
    this.close = close;
  }

  add(machine, { pool, zone, rack, capacity }) {
    this.machines.set(machine, {
      machine,
      pool,
      state: "up",
      zone,
      labels: ["a", rack],
      capacity,
      id: undefined,
    });
  }

  /** Machines of a wave that are down for its upkeep. */
  down(wave) {
    return [...this.machines.values()]
      .filter(({ state, wave: downFor }) => state === "upkeep" && downFor === wave)
      .map(({ machine }) => machine);
  }

  async #reply(method, url, body, headers) {
    if (method === "GET" && url.pathname === "/api/machines") {
      const machines = [...this.machines.values()].map(({ wave: _wave, ...listed }) => listed);
      return { status: 200, body: { machines, nextToken: null } };
    }
    const order = {
      path: url.pathname,
      ...body,
      holder: headers["duty-holder"],
      fence: Number(headers["fencing-token"] ?? 0),
    };
    this.record("hostOrder", order);
    const held = this.delay(order);
    if (held === null) {
      return this.#carryOut(order);
    }
    void held.then(() => this.#carryOut(order, " late"));
    return null;
  }

  #carryOut(order, how = "") {
    const reply = this.#decide(order);
    this.record(`hostOrderDone${how}`, { ...order, status: reply.status, ...reply.body });
    return reply;
  }

  #decide({ path, machine, pool, wave, fence }) {
    const host = this.machines.get(machine);
    if (host === undefined) {
      return { status: 400 };
    }
    if (fence < (this.#fences.get(machine) ?? 0)) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.#fences.set(machine, fence);
    return path === "/api/machine-move" ? this.#move(host, pool) : this.#upkeep(host, wave);
  }

  #move(host, pool) {
    if (host.pool === pool) {
      return { status: 200 };
    }
    if (host.state !== "up") {
      return { status: 409, body: { reason: "busy" } };
    }
    host.pool = pool;
    this.#takeDown(host, "moving", MOVE_MS);
    return { status: 200 };
  }

  #upkeep(host, wave) {
    if (this.waves.get(wave)?.includes(host.machine) !== true) {
      return { status: 409, body: { reason: "wave" } };
    }
    if (this.done.has(`${host.machine} ${wave}`)) {
      return { status: 200 };
    }
    if (host.state !== "up") {
      return { status: 409, body: { reason: "busy" } };
    }
    this.done.add(`${host.machine} ${wave}`);
    host.wave = wave;
    this.#takeDown(host, "upkeep", UPKEEP_MS);
    this.record("upkeepBegins", { machine: host.machine, wave, down: this.down(wave) });
    return { status: 200 };
  }

  #takeDown(host, state, forMs) {
    host.state = state;
    this.finish(host);
    host.id = undefined;
    setTimeout(() => {
      host.state = "up";
      host.wave = undefined;
      this.record("machineUp", { machine: host.machine, pool: host.pool });
      if (host.pool !== this.standbyPool) {
        this.begin(host);
      }
    }, forMs).unref();
  }
}
