// Stand-in of an executor: fence numbers, leases on its own clock, run numbers, and ends that it
// lists until they are taken note of. It starts whatever it is told to (`enforcesCapacity` false).
//
// The `spec` of a submission says how long its work items work, in ms; "lasting" has no end.

import { serveJson } from "./http.mjs";

const HOLD_MAX_MS = 6_000;
const STOP_MS = 100;
const STARTUP_MS = 500;
const MAX_ENDS = 500;
const HEARTBEAT_MS = 1_500;

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export class Executor {
  #t0 = performance.now();
  #fence = 0;
  #leaseUntilMs = 0;
  #sequence = 0;
  #endSequence = 0;
  #running = new Map();
  #ended = new Map();
  #ends = [];
  #waiting = new Set();
  #timers = [];

  constructor(id, { machine, service, zone, rack, capacity }, store, record) {
    Object.assign(this, { id, machine, service, zone, rack, capacity, store, record });
    this.born = Date.now();
  }

  async start() {
    const { address, close } = await serveJson((_method, url, body, headers) =>
      this.#reply(url.pathname, body, headers),
    );
    this.address = address;
    this.#timers = [
      setInterval(() => this.register(), HEARTBEAT_MS),
      setInterval(() => this.#expire(), 50),
    ];
    this.close = () => {
      this.#timers.forEach((timer) => clearInterval(timer));
      close();
    };
    this.register();
  }

  /** Ends everything at once, as when its machine goes down. */
  end(how) {
    for (const [task, run] of this.#running) {
      clearTimeout(run.timer);
      this.record("ended", { executor: this.id, task, run: run.number, how });
    }
    this.#running.clear();
    this.close();
  }

  /** Work items that run here. */
  get tasks() {
    return [...this.#running.keys()];
  }

  register() {
    this.#sequence += 1;
    this.store.put("servers", this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: 8,
      state: "ready",
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: ["a", this.rack],
      clockMs: this.#clockMs(),
      born: this.born,
      machine: this.machine,
      sequence: this.#sequence,
    });
  }

  #clockMs() {
    return Math.round(performance.now() - this.#t0);
  }

  #answer(status, body = {}) {
    return { status, body: { clockMs: this.#clockMs(), born: this.born, ...body } };
  }

  #reply(path, order, headers) {
    const expected = headers["expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      return { status: 421 };
    }
    const fence = order.fencingToken ?? 0;
    if (fence < this.#fence) {
      return this.#answer(409, { reason: "fence" });
    }
    this.#fence = fence;
    switch (path) {
      case "/api/run-start":
        return this.#startRun(order);
      case "/api/run-stop":
        return this.#stopRun(order);
      case "/api/hold":
        return this.#hold(order);
      case "/api/pace":
        return this.#answer(200);
      default:
        return { status: 404 };
    }
  }

  #extend(deadlineMs) {
    if (deadlineMs !== undefined && deadlineMs !== null) {
      const untilMs = Math.min(deadlineMs, this.#clockMs() + HOLD_MAX_MS);
      this.#leaseUntilMs = Math.max(this.#leaseUntilMs, untilMs);
    }
  }

  #startRun({ task, run, spec, deadlineMs }) {
    const present = this.#running.get(task);
    if (present?.number === run) {
      this.#extend(deadlineMs);
      return this.#answer(200);
    }
    if (present !== undefined || run <= (this.#ended.get(task) ?? 0)) {
      this.#extend(deadlineMs);
      return this.#answer(409, { reason: "old" });
    }
    if (deadlineMs !== undefined && deadlineMs <= this.#clockMs()) {
      return this.#answer(409, { reason: "late" });
    }
    this.#extend(deadlineMs);
    const workMs = spec.startsWith("lasting") ? null : Number.parseInt(spec, 10);
    const timer =
      workMs === null ? undefined : setTimeout(() => this.#endRun(task, run, "done"), workMs);
    this.#running.set(task, {
      number: run,
      startedMs: performance.now(),
      workMs,
      timer,
      stopping: false,
    });
    this.record("started", { executor: this.id, task, run, fence: this.#fence });
    return this.#answer(200);
  }

  #stopRun({ task, run }) {
    const present = this.#running.get(task);
    if (present?.number !== run) {
      this.#ended.set(task, Math.max(this.#ended.get(task) ?? 0, run));
    } else if (!present.stopping) {
      present.stopping = true;
      setTimeout(() => this.#endRun(task, run, "stopped"), STOP_MS);
    }
    return this.#answer(200);
  }

  #endRun(task, number, how) {
    const run = this.#running.get(task);
    if (run?.number !== number) {
      return;
    }
    clearTimeout(run.timer);
    this.#running.delete(task);
    this.#ended.set(task, Math.max(this.#ended.get(task) ?? 0, number));
    this.#endSequence += 1;
    this.#ends.push([this.#endSequence, task, number, how, ""]);
    this.record("ended", { executor: this.id, task, run: number, how });
    this.#waiting.forEach((wake) => wake());
    this.#waiting.clear();
  }

  #expire() {
    if (this.#clockMs() > this.#leaseUntilMs) {
      for (const [task, { number }] of this.#running) {
        this.#endRun(task, number, "lapsed");
      }
    }
  }

  #percent({ startedMs, workMs }) {
    const share = (performance.now() - startedMs) / (workMs ?? STARTUP_MS);
    return Math.min(workMs === null ? 100 : 99, Math.floor(100 * share));
  }

  async #hold({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    this.#extend(deadlineMs);
    this.#ends = this.#ends.filter(([sequence]) => sequence > lastSeen);
    if (this.#ends.length === 0 && waitMs > 0) {
      await Promise.race([
        new Promise((resolve) => this.#waiting.add(resolve)),
        pause(Math.min(2_000, waitMs)),
      ]);
    }
    const running = [...this.#running]
      .filter(([, { stopping }]) => !stopping)
      .map(([task, run]) => [task, run.number, "", this.#percent(run), 100]);
    return this.#answer(200, { running, finished: this.#ends.slice(0, MAX_ENDS) });
  }
}
