// Stand-in for an executor, as PROTOCOL.md describes it: fence numbers, leases on its own clock,
// run numbers, a list of ends that is kept until it is acknowledged.
import { sleep, startServer } from "./http.mjs";

const MAX_LISTED_ENDS = 500;
const TICK_MS = 20;

export class Executor {
  #born = Date.now();
  #startedAt = performance.now();
  #fence = 0;
  #leaseUntil = 0;
  #running = new Map();
  #highestOver = new Map();
  #finished = [];
  #nextEnd = 1;
  #waiters = new Set();
  #sequence = 0;

  /**
   * @param {object} options - `id`, `service`, `machine`, `rack`, `capacity`, `bounds`.
   * @param {(event: object) => void} observe - Told of each start, stop order and end.
   */
  constructor(options, observe) {
    this.options = options;
    this.observe = observe;
    this.state = "ready";
  }

  async start() {
    this.server = await startServer((incoming) => this.#answer(incoming));
    this.timer = setInterval(() => this.#expire(), TICK_MS);
  }

  /**
   * Crashes and starts again under the same id at the same address. It then holds and knows nothing
   * of before, and its clock and counts start anew.
   *
   * @param downMs - Time until it answers again.
   * @param entryAfterMs - Time from then until it writes its entry.
   */
  async restart(downMs, entryAfterMs, writeEntry) {
    this.down = true;
    this.silent = true;
    [...this.#running.values()].forEach((entry) => {
      clearTimeout(entry.timer);
      this.#running.delete(entry.task);
      const { task, run } = entry;
      this.observe({ what: "end", executor: this.options.id, task, run, how: "crash" });
    });
    this.server.dropConnections();
    this.#finished = [];
    this.#highestOver.clear();
    this.#nextEnd = 1;
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseUntil = 0;
    await sleep(downMs);
    this.#born = Date.now();
    this.#startedAt = performance.now();
    this.down = false;
    await sleep(entryAfterMs);
    this.silent = false;
    writeEntry();
  }

  close() {
    clearInterval(this.timer);
    this.#running.forEach(({ timer }) => clearTimeout(timer));
    this.#running.clear();
    this.server?.close();
  }

  clockMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Runs at present, also those that are being stopped. */
  runs() {
    return [...this.#running.values()].map(({ task, run }) => ({ task, run }));
  }

  /** What the executor says of itself in the store. */
  entry() {
    const { service, machine, rack, capacity, zone } = this.options;
    this.#sequence += 1;
    return {
      service,
      address: this.server.address,
      zone,
      version: "1",
      slots: 8,
      state: this.state,
      ...(this.state === "draining" ? { drainRemainingMs: this.drainRemainingMs ?? 2_000 } : {}),
      coldRemainingMs: 0,
      sequence: this.#sequence,
      capacity,
      labels: ["plain", rack],
      machine,
      clockMs: this.clockMs(),
      born: this.#born,
    };
  }

  #says(body = {}) {
    return { clockMs: this.clockMs(), born: this.#born, ...body };
  }

  #extend(deadlineMs) {
    if (typeof deadlineMs === "number") {
      const longest = this.clockMs() + this.options.bounds.holdMaxMs;
      this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadlineMs, longest));
    }
  }

  #expire() {
    if (this.clockMs() > this.#leaseUntil) {
      [...this.#running.values()].forEach((entry) => this.#end(entry, "lapsed"));
    }
  }

  #end(entry, how) {
    if (!this.#running.delete(entry.task)) {
      return;
    }
    clearTimeout(entry.timer);
    this.#highestOver.set(entry.task, Math.max(this.#highestOver.get(entry.task) ?? 0, entry.run));
    this.#finished.push([this.#nextEnd, entry.task, entry.run, how, ""]);
    this.#nextEnd += 1;
    this.observe({ what: "end", executor: this.options.id, task: entry.task, run: entry.run, how });
    this.#waiters.forEach((wake) => wake());
  }

  async #answer(call) {
    if (this.down === true || this.isCut === true) {
      return null;
    }
    const reply = await this.#carryOut(call);
    return this.down === true || this.isCut === true ? null : reply;
  }

  async #carryOut({ path, headers, body }) {
    if (path === "/healthz") {
      return { status: this.state === "ready" ? 200 : 503 };
    }
    const expected = headers["expected-instance"];
    if (expected !== undefined && expected !== this.options.id) {
      return { status: 421 };
    }
    const fence = body?.fencingToken ?? 0;
    if (fence < this.#fence) {
      return { status: 409, body: this.#says({ reason: "fence" }) };
    }
    this.#fence = fence;
    switch (path) {
      case "/api/run-start":
        return this.#start(body);
      case "/api/run-stop":
        return this.#stop(body);
      case "/api/hold":
        return this.#hold(body);
      case "/api/pace":
        return { status: 200, body: this.#says() };
      default:
        return { status: 404 };
    }
  }

  #start({ task, run, spec, deadlineMs }) {
    const present = this.#running.get(task);
    if (present?.run === run) {
      this.#extend(deadlineMs);
      return { status: 200, body: this.#says() };
    }
    if (run <= (this.#highestOver.get(task) ?? 0) || present !== undefined) {
      this.#extend(deadlineMs);
      return { status: 409, body: this.#says({ reason: "old" }) };
    }
    if (deadlineMs <= this.clockMs()) {
      return { status: 409, body: this.#says({ reason: "late" }) };
    }
    this.#extend(deadlineMs);
    const { workMs, how = "done" } = JSON.parse(spec);
    const entry = { task, run, at: performance.now(), workMs, stopping: false };
    if (workMs !== null) {
      entry.timer = setTimeout(() => this.#end(entry, how), workMs);
    }
    this.#running.set(task, entry);
    this.observe({ what: "start", executor: this.options.id, task, run });
    return { status: 200, body: this.#says() };
  }

  #stop({ task, run }) {
    const entry = this.#running.get(task);
    this.observe({ what: "stop", executor: this.options.id, task, run });
    if (entry?.run === run) {
      if (!entry.stopping) {
        entry.stopping = true;
        setTimeout(() => this.#end(entry, "stopped"), this.options.stopMs ?? 50);
      }
    } else {
      this.#highestOver.set(task, Math.max(this.#highestOver.get(task) ?? 0, run));
    }
    return { status: 200, body: this.#says() };
  }

  async #hold({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    this.#extend(deadlineMs);
    this.#finished = this.#finished.filter(([number]) => number > lastSeen);
    if (this.#finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(2_000, waitMs));
        this.#waiters.add(wake);
      });
    }
    const running = [...this.#running.values()]
      .filter(({ stopping }) => !stopping || this.options.listsStopping === true)
      .map(({ task, run, at, workMs }) => [
        task,
        run,
        "",
        workMs === null ? 100 : Math.min(99, Math.floor((100 * (performance.now() - at)) / workMs)),
        100,
      ]);
    return {
      status: 200,
      body: this.#says({ running, finished: this.#finished.slice(0, MAX_LISTED_ENDS) }),
    };
  }
}
