// A small deployment on loopback: the project's processes by the command of the deploy file, beside
// the stand-ins for the store, the executors, the machines and the clients.
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Executor } from "./executor.mjs";
import { call, sleep, startServer } from "./http.mjs";
import { Store } from "./store.mjs";

const REPOSITORY = fileURLToPath(new URL("../..", import.meta.url));

/** Bounds and rates of the site that the claims name. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  strictRevocation: true,
  revokeMs: 5000,
  quotaWindowS: 5,
  quotaOverage: 0.1,
  quotaSlack: 20,
  recoveryS: 12,
  holdMaxMs: 6000,
  stopMs: 900,
  gangMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  remoteFactor: 3,
  checkpointS: 2,
  restoreMs: 100,
  noticeMs: 4500,
  migrationS: 1.5,
  maintenanceS: 2,
  fencingEnforced: true,
  leaseMs: 3000,
  thawMs: 300,
  pacingMs: 100,
  impactMs: 4000,
};

const STORE = { writesPerS: 800, readsPerS: 2000, txMs: 6, commitsPerS: 200, rowBytes: 65536 };

const HEARTBEAT_MS = 1_500;
/** State calls at once at the end of a case. */
const STATES_AT_ONCE = 20;
const STANDBY_POOL = "spare";
export const QUEUE_HOST = "queue.example";
export const KEY = "key-of-the-tenant";

/** A config with one queue, its pool, a pool on standby and one tenant without a ceiling. */
export const simpleConfig = (version, changes = {}) => ({
  version,
  routes: [
    {
      name: "work",
      host: QUEUE_HOST,
      prefix: "/queue/",
      service: "pool",
      priority: 0,
      maxAttempts: 3,
      stretchFactor: 2,
      targetDurationMs: 2000,
    },
  ],
  services: [
    { name: "pool", enforcesCapacity: false },
    { name: "spare", enforcesCapacity: false, standby: true },
  ],
  tenants: [{ name: "tenant", weight: 50, ceiling: { cpu: 0, memMb: 0, gpu: 0 }, apiKeys: [KEY] }],
  ...changes,
});

/** Whether the disruption is to be brought about. */
export const TROUBLE = process.env.TROUBLE !== "0";

/** Ports below those that the system gives to outgoing channels, so that no other call takes one. */
const PORTS = { FIRST: 15_000, COUNT: 15_000 };

const canListen = async (port) => {
  const server = createServer();
  const free = await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  if (free) {
    await new Promise((resolve) => server.close(resolve));
  }
  return free;
};

const freePort = async () => {
  for (;;) {
    const port = PORTS.FIRST + Math.floor(Math.random() * PORTS.COUNT);
    if (await canListen(port)) {
      return port;
    }
  }
};

/** Returns program and arguments of the deploy file's role. */
const deployCommand = () => {
  const text = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/mu.exec(text)[1].split(" ");
};

const tomlOf = (table) =>
  Object.entries(table)
    .map(([name, value]) => `${name} = ${JSON.stringify(value)}`)
    .join("\n");

/** One process of the deploy file on a machine of its own. */
class Node {
  constructor(deployment, name, zone) {
    Object.assign(this, { deployment, name, zone, exits: 0, running: false, wanted: true });
  }

  async prepare() {
    const internal = await freePort();
    this.frontend = `127.0.0.1:${await freePort()}`;
    this.ready = `127.0.0.1:${await freePort()}`;
    this.settings = join(this.deployment.folder, `${this.name}.toml`);
    this.log = join(this.deployment.folder, `${this.name}.log`);
    writeFileSync(
      this.settings,
      `${tomlOf({
        nodeName: this.name,
        role: "work",
        machineClass: "frontend",
        serves: ["frontend"],
        ip: "127.0.0.1",
        zone: this.zone,
        region: "region",
        internalPorts: [internal - 10, internal + 5],
        seedNodes: [],
        bootstrap: true,
        lossCounts: false,
        discovery: "platform",
        entryPoint: "vip",
        heartbeatMs: HEARTBEAT_MS,
        contracts: [
          "base",
          "drain",
          "config",
          "cost",
          "recover",
          "sched",
          "tenants",
          "quota",
          "platform",
          "upkeep",
        ],
        controlMode: "invocation",
      })}
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listenAddrs]
${tomlOf({ frontend: this.frontend, ready: this.ready })}
[limits]
${tomlOf({ cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 })}
[bounds]
${tomlOf(this.deployment.bounds)}
[platform]
${tomlOf({ address: this.deployment.store.address, form: "table", ...this.deployment.storeRates, crossPartition: false, historyS: 20 })}
[cloudApi]
${tomlOf({ address: this.deployment.machines.address, ratePerS: 64, duties: [], dutyPerS: 64 })}
`,
    );
  }

  start() {
    const [program, ...words] = deployCommand();
    const { PATH, HOME, LANG } = process.env;
    this.running = true;
    this.child = spawn(program, words, {
      cwd: REPOSITORY,
      env: { PATH, HOME, LANG, HEATHERFERRY_BOOT: this.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child.stdout.on("data", (bytes) => appendFileSync(this.log, bytes));
    this.child.stderr.on("data", (bytes) => appendFileSync(this.log, bytes));
    this.child.once("exit", (code, signal) => {
      this.running = false;
      this.exits += 1;
      this.deployment.record({ what: "process ended", node: this.name, code, signal });
      if (this.wanted) {
        // A process that ends is started again after a short delay.
        this.restart = setTimeout(() => this.start(), 300);
      }
    });
  }

  signal(name) {
    this.deployment.record({ what: "signal", node: this.name, signal: name });
    this.child.kill(name);
  }

  end() {
    this.wanted = false;
    clearTimeout(this.restart);
    if (this.running) {
      this.child.kill("SIGKILL");
    }
  }
}

export class Deployment {
  executors = new Map();
  executorOptions = {};
  bounds = BOUNDS;
  storeRates = STORE;
  lives = 0;
  nodes = [];
  timers = [];
  observers = [];
  #startedAt = performance.now();

  constructor(caseFolder) {
    this.recordPath = join(caseFolder, "record.txt");
    writeFileSync(this.recordPath, "");
    this.folder = mkdtempSync(join(tmpdir(), "heatherferry-review-"));
    this.lines = [];
  }

  seconds() {
    return (performance.now() - this.#startedAt) / 1_000;
  }

  /** Writes an event into the record, at once. */
  record(event) {
    const { what, ...fields } = event;
    const words = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    appendFileSync(
      this.recordPath,
      `${this.seconds().toFixed(3).padStart(8)} ${what} ${words.join(" ")}\n`,
    );
  }

  observe(event) {
    const timed = { ...event, atMs: performance.now() };
    this.record(event);
    this.observers.forEach((observer) => observer(timed));
  }

  /** Starts the stand-ins, without processes of the project. */
  async start() {
    this.store = new Store(this.storeRates);
    await this.store.start();
    this.machineList = new Map();
    this.machines = await startServer((incoming) => this.answerMachines(incoming));
    this.timers.push(
      setInterval(() => {
        for (const executor of this.executors.values()) {
          if (executor.down === true || executor.silent === true) {
            continue;
          }
          this.store.put("servers", executor.options.id, executor.entry());
        }
      }, HEARTBEAT_MS),
    );
  }

  /** The platform's interface for machines; a machine that is off runs no executor. */
  async answerMachines({ path, body, headers }) {
    if (path === "/api/machines") {
      return { status: 200, body: { machines: [...this.machineList.values()] } };
    }
    const machine = this.machineList.get(body?.machine);
    if (machine === undefined) {
      return { status: 400 };
    }
    const fence = Number(headers["fencing-token"]);
    if (fence < (machine.fence ?? 0)) {
      return { status: 409, body: { reason: "fence" } };
    }
    machine.fence = fence;
    if (path === "/api/machine-upkeep") {
      return this.upkeep(machine, body.wave);
    }
    return this.move(machine, body.pool);
  }

  /** Moves a machine: its executor ends at once, and a new one joins the pool unless that is off. */
  move(machine, pool) {
    if (machine.pool === pool) {
      return { status: 200 };
    }
    if (machine.state !== "up") {
      return { status: 409, body: { reason: "busy" } };
    }
    const old = this.executors.get(machine.id);
    machine.state = "moving";
    machine.pool = pool;
    delete machine.id;
    this.record({ what: "machine moves", machine: machine.machine, pool });
    if (old !== undefined) {
      this.executors.delete(old.options.id);
      old.close();
      setTimeout(() => this.store.drop("servers", old.options.id), HEARTBEAT_MS);
    }
    setTimeout(async () => {
      machine.state = "up";
      if (pool === STANDBY_POOL) {
        return;
      }
      this.lives += 1;
      machine.id = `${machine.machine}-life-${this.lives}`;
      const { labels, capacity, zone } = machine;
      await this.addExecutor({
        ...this.executorOptions,
        id: machine.id,
        service: pool,
        machine: machine.machine,
        rack: labels[1],
        zone,
        capacity,
      });
    }, this.bounds.migrationS * 1_000);
    return { status: 200 };
  }

  upkeep(machine, wave) {
    const request = this.store.get("op", `wave/${wave}`);
    if (request === null || !request.machines.includes(machine.machine)) {
      return { status: 409, body: { reason: "wave" } };
    }
    machine.had ??= new Set();
    if (machine.had.has(wave)) {
      return { status: 200 };
    }
    if (machine.state !== "up") {
      return { status: 409, body: { reason: "busy" } };
    }
    machine.had.add(wave);
    machine.state = "upkeep";
    this.record({ what: "upkeep begins", machine: machine.machine, wave });
    setTimeout(() => {
      machine.state = "up";
      this.record({ what: "upkeep ends", machine: machine.machine, wave });
    }, this.bounds.maintenanceS * 1_000);
    return { status: 200 };
  }

  async addExecutor(options) {
    const executor = new Executor({ bounds: this.bounds, ...options }, (event) =>
      this.observe(event),
    );
    await executor.start();
    this.executors.set(options.id, executor);
    this.store.put("servers", options.id, executor.entry());
    return executor;
  }

  /** Adds executors `x-0`, `x-1` ... to the pool of the simple config, each on a machine. */
  async addPool(count, options = {}) {
    this.executorOptions = options;
    for (let index = 0; index < count; index += 1) {
      const machine = `m-x${index}`;
      const rack = `r${index % 2}`;
      const capacity = { cpu: 16000, memMb: 65536, gpu: 0 };
      const id = `x-${index}`;
      await this.addExecutor({
        id,
        service: "pool",
        machine,
        rack,
        zone: "zone-a",
        capacity,
        ...options,
      });
      this.machineList.set(machine, {
        machine,
        pool: "pool",
        state: "up",
        zone: "zone-a",
        labels: ["plain", rack],
        capacity,
        id,
      });
    }
  }

  /** Adds a machine that is off, in a pool on standby. */
  addStandbyMachine(name, pool) {
    this.machineList.set(name, {
      machine: name,
      pool,
      state: "up",
      zone: "zone-a",
      labels: ["plain", "r9"],
      capacity: { cpu: 16000, memMb: 65536, gpu: 0 },
    });
  }

  async addNodes(count) {
    const zones = ["zone-a", "zone-b", "zone-c"];
    for (let index = 0; index < count; index += 1) {
      const node = new Node(this, `frontend-${index + 1}`, zones[index % zones.length]);
      await node.prepare();
      this.nodes.push(node);
    }
    this.nodes.forEach((node) => node.start());
  }

  writeConfig(config) {
    this.store.put("op", "config", { limits: { maxBodyBytes: 262144 }, ...config });
    this.record({ what: "config written", version: config.version });
  }

  /** The node that owns all work, by the row that the project keeps in the store. */
  owner() {
    const holder = this.store.get("heatherferry-owner", "all-pools")?.holder;
    return this.nodes.find(({ name }) => holder === `${name}@127.0.0.1`) ?? null;
  }

  async ready(seconds = 20) {
    const until = this.seconds() + seconds;
    while (this.seconds() < until) {
      const answers = await Promise.all(
        this.nodes.map((node) => call(node.ready, "GET", "/api/readyz", { timeoutMs: 500 })),
      );
      const pending = await this.client("GET", "", {});
      if (answers.every(({ status }) => status === 200) && pending.status === 200) {
        return true;
      }
      await sleep(100);
    }
    return false;
  }

  /**
   * Makes a client's call at a node that runs, as the balancer does.
   *
   * @param path - What follows the queue's prefix.
   */
  async client(method, path, { body, prefix = "/queue/", node, host = QUEUE_HOST } = {}) {
    const usable = this.nodes.filter(({ running }) => running);
    const chosen = node ?? usable[Math.floor(Math.random() * usable.length)];
    if (chosen === undefined) {
      return { status: 0, body: {}, error: "no process runs" };
    }
    const answer = await call(chosen.frontend, method, `${prefix}${path}`, {
      headers: { host, authorization: `Bearer ${KEY}`, "deadline-ms": "3000" },
      body,
    });
    return { ...answer, node: chosen.name };
  }

  /** Submits work; the same call is made again, at any node, until it is answered for good. */
  async submit(id, work, options = {}) {
    for (let attempt = 1; attempt <= 4; attempt += 1) {
      const answer = await this.client("POST", id, { body: work, ...options });
      this.record({ what: "client POST", id, attempt, node: answer.node, status: answer.status });
      if (![0, 502, 503, 429, 504].includes(answer.status)) {
        return answer.status;
      }
      await sleep(500);
    }
    return 0;
  }

  async state(id, options = {}) {
    const answer = await this.client("GET", id, options);
    return answer.status === 200 ? answer.body.state : `status ${answer.status}`;
  }

  /**
   * Returns those of the submissions, with their states, that have not completed and have nothing
   * running for some seconds although all executors are empty.
   */
  async waiting(ids, seconds) {
    let waiting = new Map(ids.map((id) => [id, null]));
    for (let second = 0; second <= seconds; second += 1) {
      const idle = [...this.executors.values()].every((executor) => executor.runs().length === 0);
      const asked = [...waiting.keys()];
      const now = new Map();
      for (let from = 0; from < asked.length; from += STATES_AT_ONCE) {
        const some = asked.slice(from, from + STATES_AT_ONCE);
        const states = await Promise.all(some.map((id) => this.state(id)));
        some.forEach((id, index) => {
          if (states[index] !== "completed" && idle) {
            now.set(id, states[index]);
          }
        });
      }
      waiting = now;
      await sleep(1_000);
    }
    for (const [id, state] of waiting) {
      this.record({ what: "accepted, has nothing running", id, state });
    }
    return waiting;
  }

  /** Waits until a check gives something other than null. */
  async until(seconds, check) {
    const end = this.seconds() + seconds;
    while (this.seconds() < end) {
      const found = await check();
      if (found !== null) {
        return found;
      }
      await sleep(100);
    }
    return null;
  }

  /** Ends all that was started. */
  close() {
    this.timers.forEach((timer) => clearInterval(timer));
    this.nodes.forEach((node) => node.end());
    this.executors.forEach((executor) => executor.close());
    this.machines?.close();
    this.store?.close();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      mkdirSync(process.env.KEEP_LOGS, { recursive: true });
      process.stderr.write(`logs in ${this.folder}\n`);
    }
  }
}

/** Exit codes of a script. */
const EXIT = { HELD: 0, BROKEN: 1, NOT_RUN: 2 };
const MAX_RUN_MS = 115_000;

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could
 * not run.
 *
 * @param {string} url - `import.meta.url` of the case.
 * @param {(deployment: Deployment) => Promise<{broken: boolean, text: string} | null>} play - Returns
 *   null if the case could not run.
 */
export const runCase = async (url, play) => {
  const deployment = new Deployment(fileURLToPath(new URL(".", url)));
  let code = EXIT.NOT_RUN;
  const finish = (text) => {
    deployment.record({ what: "verdict", code, text });
    process.stdout.write(`${text}\n`);
    deployment.close();
    process.exit(code);
  };
  setTimeout(() => finish("the case took too long"), MAX_RUN_MS);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => finish(`ended by ${signal}`));
  }
  try {
    await deployment.start();
    const verdict = await play(deployment);
    if (verdict === null) {
      finish("the case could not run");
    }
    code = verdict.broken ? EXIT.BROKEN : EXIT.HELD;
    finish(verdict.text);
  } catch (error) {
    code = EXIT.NOT_RUN;
    finish(`the case could not run: ${error.stack}`);
  }
};
